"""The tables of one host and the systems that run over them."""
