"""Request scheduling for unlike engines, as a library with thin daemons."""

__version__ = "0.1.0"
