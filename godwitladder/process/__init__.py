"""The life of a host's process: start, signals, supervision, drain and exit."""
