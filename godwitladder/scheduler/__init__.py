"""Request tables of a host and the systems that process them."""
