"""Starts one host on the users' platform."""

from godwitladder.process.early_signals import install_early_handlers


def start_host() -> None:
    """Import the host and run it until it is stopped."""
    from godwitladder.platform.host import run_host
    from godwitladder.process.arenas import limit_arenas
    from godwitladder.process.threads import limit_stacks

    limit_arenas()
    limit_stacks()
    run_host()


def main() -> None:
    """Prepare the process, and run the host or report its failed start."""
    install_early_handlers()
    # The signal handlers have to come before any other import of the package.
    from godwitladder.process.exits import end_failed_start
    from godwitladder.process.standard_streams import reserve_standard_streams

    reserve_standard_streams()
    try:
        start_host()
    except Exception as error:
        end_failed_start(error)


if __name__ == "__main__":
    main()
