"""Signal handlers for the time until a host has been made.

Imports nothing but modules within the interpreter: `signal` and `os` take milliseconds,
and a signal that comes before these handlers has its default action, which mostly ends
the process.
"""

import _signal as signal
import faulthandler
import posix

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
"""Ask the process to end."""
RELOAD_SIGNAL = signal.SIGHUP
STRAY_SIGNALS = (
    signal.SIGUSR1,
    signal.SIGUSR2,
    signal.SIGALRM,
    signal.SIGVTALRM,
    signal.SIGPROF,
    signal.SIGIO,
    signal.SIGSTKFLT,
    signal.SIGXCPU,
    signal.SIGPWR,
)
"""Have no meaning here; their default action would end the process.

They stay ignored. All handlers of Python run on the small stack that `faulthandler`
sets up; if many interrupted each other, they would write beyond it.
"""
STANDARD_ERROR = 2


def install_early_handlers() -> None:
    """Install handlers that need nothing but the interpreter.

    A stop exits at once, since no call has been accepted yet. A change of the settings
    needs nothing: they are read later, and the host compares them once it has started.
    """
    for number in (RELOAD_SIGNAL, *STRAY_SIGNALS):
        signal.signal(number, signal.SIG_IGN)
    for number in STOP_SIGNALS:
        signal.signal(number, exit_at_once)
    # A parent that waits for signals has blocked them, and its children inherit that.
    handled = (RELOAD_SIGNAL, *STRAY_SIGNALS, *STOP_SIGNALS)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, handled)
    # A parent may have ignored it, and the process would not end by it.
    if signal.getsignal(signal.SIGQUIT) == signal.SIG_IGN:
        signal.signal(signal.SIGQUIT, signal.SIG_DFL)
    # To read the stacks of other threads, which go on meanwhile, may crash or hang.
    faulthandler.enable(STANDARD_ERROR, all_threads=False)
    faulthandler.register(signal.SIGQUIT, STANDARD_ERROR, all_threads=False, chain=True)


def exit_at_once(number: int, frame: object) -> None:
    """End the process as planned."""
    posix._exit(0)
