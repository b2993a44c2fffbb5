"""Decides what happens to a request whose caller has disconnected.

Callers disconnect under overload, and their requests keep occupying slots. At twice
its capacity, a pool would spend much of its decode time on responses that nobody
receives. But cancelling a request wastes its prefill, and a caller with an idempotency
key may retry to fetch the response.
"""

import enum

# An idempotent stream with a key is finished when at most this part of its output
# remains. A retry then finds the response and costs no second prefill.
MAX_REMAINING_RATIO = 0.25


class DisconnectAction(enum.Enum):
    """What to do with a request whose caller has disconnected.

    Attributes
    ----------
    DROP
        Remove it from the queue.
    CANCEL
        Cancel it on its target.
    FINISH
        Let it run to its end.
    """

    DROP = "drop"
    CANCEL = "cancel"
    FINISH = "finish"


def disconnect_action(
    running: bool, idempotent: bool, keyed: bool, produced: int, predicted: int
) -> DisconnectAction:
    """Return what to do with a request whose caller has disconnected.

    A running request that is not idempotent is always finished. Cancelling a
    payment half way would save a second of a target's time and leave it unknown
    whether the payment was made.

    Parameters
    ----------
    running : bool
        Whether the request was sent to a target.
    idempotent : bool
        Whether it may run more than once.
    keyed : bool
        Whether it has an idempotency key.
    produced, predicted : int
        Output tokens so far, and those expected in total.
    """
    if not running:
        return DisconnectAction.DROP
    if not idempotent:
        return DisconnectAction.FINISH
    remaining = max(0, predicted - produced) / max(1, predicted)
    if keyed and produced and remaining <= MAX_REMAINING_RATIO:
        return DisconnectAction.FINISH
    return DisconnectAction.CANCEL
