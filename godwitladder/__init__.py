"""Request scheduler for heterogeneous inference engines and services.

The package is a library; its daemons only wire the library's classes together.
"""

__version__ = "0.1.0"
