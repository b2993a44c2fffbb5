"""Starts one host on the users' platform."""

import os
import signal


def hold_signals() -> None:
    """Let no signal kill the process before the host can answer it.

    Loading takes half a second, in which SIGHUP would end a host that was only
    told of new settings, and SIGTERM would look like a crash. Nothing has been
    taken from any caller by then, and the settings are still to be read.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))


def main() -> None:
    """Hold signals, and only then load and run the host."""
    hold_signals()
    from godwitladder.platform.host import run_host

    run_host()


if __name__ == "__main__":
    main()
