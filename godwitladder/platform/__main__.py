"""Starts one host on the users' platform."""

from godwitladder.process.early_signals import install_early_handlers


def start_host() -> None:
    """Prepare the process, import the host and run it until it is stopped."""
    from godwitladder.process.preparing import prepare_process

    prepare_process()
    from godwitladder.platform.host import run_host

    run_host()


def main() -> None:
    """Install the signal handlers, and run the host or report its failed start."""
    install_early_handlers()
    # The signal handlers have to come before any other import of the package.
    from godwitladder.process.exits import end_failed_start

    try:
        start_host()
    except Exception as error:
        end_failed_start(error)


if __name__ == "__main__":
    main()
