"""Stand-ins, clients and hosts that the cases of the review share."""
