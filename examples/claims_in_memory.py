"""Resolve competing claims of one key by the record order of a log, without hosts.

The claim with the lowest offset holds the key until it is released. Every
reader of the same records determines the same holder.
"""

from godwitladder.claims.records import Claim, Release
from godwitladder.claims.table import ClaimTable

KEY = b"charge 17 mother"
RECORDS = (
    Claim(KEY, b"nonce of host-a1", "host-a1", 1, b"the body", 0.0),
    Claim(KEY, b"nonce of host-b1", "host-b1", 1, b"the body", 0.0),
    Release(KEY, b"nonce of host-a1"),
)


def main() -> list[str]:
    """Print and return the holder of the key after each record."""
    table = ClaimTable(window_s=86_400.0)
    holders = []
    for offset, record in enumerate(RECORDS):
        table.replay(offset, float(offset), record)
        holders.append(table.holder(KEY).host)
        print(offset, type(record).__name__, "held by", holders[-1])
    return holders


if __name__ == "__main__":
    main()
