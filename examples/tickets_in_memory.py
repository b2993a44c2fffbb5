"""Evaluate tickets with a ledger alone, without a log, hosts or threads.

The ledger is a pure function of the ordered records. Every process that replays
the records of the same append-only log reaches the same verdicts.
"""

from godwitladder.configuration.ledger import Ledger
from godwitladder.configuration.snapshots import decode_snapshot, encode_snapshot

RECORDS = (
    'number = 1\noperator = "hanna"\nreason = "first"\n[tiers.urgent]\nrank = 0',
    'number = 3\noperator = "mart"\nreason = "lower"\n[tiers.urgent]\nrank = 1',
    'number = 2\noperator = "hanna"\nreason = "late"\n[tiers.urgent]\nrank = 2',
)


def main() -> Ledger:
    """Print each verdict; return the ledger decoded from its own snapshot."""
    ledger = Ledger()
    for offset, text in enumerate(RECORDS):
        entry = ledger.replay(offset, 0.0, text.encode())
        print(offset, entry.verdict.value, *entry.findings)
    return decode_snapshot(encode_snapshot(ledger))


if __name__ == "__main__":
    main()
