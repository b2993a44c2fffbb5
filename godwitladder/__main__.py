"""Run the command line with ``python -m godwitladder``."""

from godwitladder.cli import main

main()
