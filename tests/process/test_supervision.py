"""A component that fails ends its host."""

import queue

import pykka

from godwitladder.process.supervision import supervised

WAIT_S = 10.0


class Faulty(pykka.ThreadingActor):
    def on_receive(self, message):
        raise TypeError(message)


def test_an_actor_that_fails_ends_its_host():
    """Guards against callers that wait forever for a dead scheduler.

    pykka ends an actor that raises an unhandled exception, and no other component
    would notice.
    """
    failures = queue.SimpleQueue()
    actor = supervised(Faulty, failures.put).start()
    actor.tell("boom")
    failure = failures.get(timeout=WAIT_S)
    assert failure.part == "Faulty"
    assert isinstance(failure.error, TypeError)
