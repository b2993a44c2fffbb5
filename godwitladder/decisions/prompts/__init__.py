"""What prompts cost, and which targets keep them."""
