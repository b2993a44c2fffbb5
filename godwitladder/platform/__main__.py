"""Starts one host on the users' platform."""

import os
import signal


def install_early_signal_handlers() -> None:
    """Install signal handlers for the time until the host installs its own.

    Importing the host takes half a second. Without handlers, SIGHUP in that time
    would kill a host that should only reload its settings, and SIGTERM would look
    like a crash. SIGHUP can be ignored because the settings are read later, and
    SIGTERM can exit at once because no call has been accepted yet.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))


def main() -> None:
    """Install the signal handlers before importing and running the host."""
    install_early_signal_handlers()
    from godwitladder.arenas import limit_arenas
    from godwitladder.platform.host import run_host

    limit_arenas()
    run_host()


if __name__ == "__main__":
    main()
