"""Run the command line with ``python -m godwitladder``."""

import sys

SERVE = "serve"
"""Command that runs a host; a signal ends all others as usual."""


def main() -> None:
    """Run the command line; for a host, with signal handlers before all imports."""
    if sys.argv[1:2] == [SERVE]:
        from godwitladder.process.early_signals import install_early_handlers

        install_early_handlers()
        from godwitladder.process.preparing import prepare_process

        prepare_process()
    from godwitladder import cli

    cli.main()


if __name__ == "__main__":
    main()
