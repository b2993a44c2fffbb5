"""Decides what becomes of a request whose caller is gone.

Load pattern: callers hang up under overload, and their work goes on holding
slots for nobody. Without this a pool at twice its capacity spends much of
its decode on answers that are thrown away. But a cancelled request has
wasted its prefill, and a caller with a key may come back for its answer.

Thresholds
----------
NEARLY_DONE : a keyed, idempotent stream is finished when at most a quarter of
    it is left: the repeat then finds its answer, and costs no second prefill.
"""

import enum

NEARLY_DONE = 0.25


class DisconnectAction(enum.Enum):
    """What to do with work whose caller is gone."""

    DROP = "drop"
    CANCEL = "cancel"
    FINISH = "finish"


def disconnect_action(
    running: bool, idempotent: bool, keyed: bool, produced: int, predicted: int
) -> DisconnectAction:
    """Return what to do.

    A non-idempotent request that runs is always finished: cancelling a charge
    half way saves a second of a target and leaves nobody knowing whether it
    happened.

    Parameters
    ----------
    produced, predicted : int
        Output tokens so far and at its end.
    """
    if not running:
        return DisconnectAction.DROP
    if not idempotent:
        return DisconnectAction.FINISH
    left = max(0, predicted - produced) / max(1, predicted)
    if keyed and produced and left <= NEARLY_DONE:
        return DisconnectAction.FINISH
    return DisconnectAction.CANCEL
