"""What is let in, how long it waits, and what is turned away."""
