"""Detect failed hosts by their heartbeat counts, without links.

Peers repeat what they know, so only a count that advances shows that a host is
live. The caller passes the time, in monotonic seconds.
"""

from godwitladder.membership.members import Member, Members


def main() -> list[list[str]]:
    """Print and return the live hosts at several times."""
    members = Members(timeout_s=3.0)
    for host in ("host-a1", "host-a2"):
        members.record_heartbeat(
            Member(host, "a", "127.0.0.1:7003", incarnation=1, last_heard=0.0)
        )
    shown = []
    for now, news in ((2.0, ("host-a1", 5)), (4.0, ("host-a2", 0)), (6.0, None)):
        if news:
            host, count = news
            members.record_gossip(host, incarnation=1, count=count, now=now)
        shown.append([row.host for row in members.live(now)])
        print(f"at {now} s: {shown[-1]}")
    return shown


if __name__ == "__main__":
    main()
