"""What the store keeps of requests that crash targets, for the loss of all hosts.

Each trait that is held back has a record of its own. Ages are kept by the time of day
of the host that wrote it, which may differ by seconds from that of the host that reads
it: a hold then lasts so much longer or shorter, and the number of its trials is kept.
"""

import dataclasses
import math
from dataclasses import dataclass

from godwitladder.decisions.health.quarantine import QuarantinePolicy
from godwitladder.membership.codec import InvalidMessage, decode, encode, peer_message
from godwitladder.quarantine.records import KnownHistory

MAX_RECORD_BYTES = 65_536
"""What hosts write in one record is shorter, also before it is compressed."""
MAX_PROCESSES = 8
"""Processes in a record: with more crashes than this a trait is held all the same."""
RENEWAL_S = 600.0
"""Time by which a quarantine may last longer than its record tells."""


@peer_message
@dataclass(frozen=True)
class StoredHistory:
    """The history of a trait, and the time of day at which it was written.

    Attributes
    ----------
    written_s : float
        Seconds since the epoch.
    """

    history: KnownHistory
    written_s: float


def encode_history(history: KnownHistory, wall_s: float) -> bytes:
    """Return the record of a history as it is at the time of day ``wall_s``."""
    short = dataclasses.replace(
        history,
        processes=history.processes[-MAX_PROCESSES:],
        unconfirmed=history.unconfirmed[-MAX_PROCESSES:],
    )
    return encode(StoredHistory(short, wall_s))


def decode_history(
    key: str, value: bytes, wall_s: float, policy: QuarantinePolicy
) -> KnownHistory | None:
    """Return the history in a record as it is at ``wall_s``; None if it has expired.

    Raises
    ------
    InvalidMessage
        The record is none of a history, or not of the trait ``key``. Any other
        program may have written it.
    """
    stored = decode(value, MAX_RECORD_BYTES)
    if not isinstance(stored, StoredHistory) or stored.history.trait != key:
        raise InvalidMessage("no history of this trait")
    history = stored.history
    times = (history.age_s, history.quarantined_s, stored.written_s)
    if not all(math.isfinite(row) and row >= 0 for row in times):
        raise InvalidMessage(f"invalid times {times}")
    elapsed_s = max(0.0, wall_s - stored.written_s)
    age_s = history.age_s + elapsed_s
    quarantined_s = min(history.quarantined_s, policy.quarantine_s) - elapsed_s
    has_expired = (
        quarantined_s <= 0 if history.quarantined_s else age_s >= policy.suspicion_s
    )
    if has_expired:
        return None
    return dataclasses.replace(
        history,
        age_s=age_s,
        quarantined_s=max(0.0, quarantined_s),
        retrials=max(0, history.retrials),
    )


def is_recorded(history: KnownHistory, stored: KnownHistory) -> bool:
    """Return whether a record tells all that matters of a history."""
    return (
        set(history.processes[-MAX_PROCESSES:]) <= set(stored.processes)
        and history.retrials <= stored.retrials
        and bool(history.quarantined_s) <= bool(stored.quarantined_s)
        and history.quarantined_s - stored.quarantined_s < RENEWAL_S
    )
