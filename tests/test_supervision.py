"""A component that fails ends its host."""

import threading

import pykka

from godwitladder.supervision import supervised

WAIT_S = 10.0


class Faulty(pykka.ThreadingActor):
    def on_receive(self, message):
        raise TypeError(message)


def test_an_actor_that_fails_ends_its_host():
    """Guards against callers that wait forever for a dead scheduler.

    pykka ends an actor that raises an unhandled exception, and no other component
    would notice.
    """
    failed = threading.Event()
    actor = supervised(Faulty, failed.set).start()
    actor.tell("boom")
    assert failed.wait(WAIT_S)
