"""Stand-ins and processes that the scripts of the second review share."""
