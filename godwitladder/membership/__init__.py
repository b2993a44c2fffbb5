"""Which hosts are live, and the links between them."""
