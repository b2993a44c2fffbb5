"""A part that fails ends its host."""

import threading

import pykka

from godwitladder.supervision import supervised

WAIT_S = 10.0


class Faulty(pykka.ThreadingActor):
    def on_receive(self, message):
        raise TypeError(message)


def test_an_actor_that_fails_ends_its_host():
    """A caller of the host would wait for ever for a dead scheduler.

    The actor meets an error that nobody foresaw; pykka ends the actor, and
    nothing else would notice.
    """
    failed = threading.Event()
    actor = supervised(Faulty, failed.set).start()
    actor.tell("boom")
    assert failed.wait(WAIT_S)
