"""Tell live hosts from dead ones by their counts, without links.

Peers repeat what they know; only a count that advances is a sign of life.
Times are monotonic seconds that the caller hands in.
"""

from godwitladder.membership.members import Member, Members


def main() -> list[list[str]]:
    """Print and return who is live at some times."""
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
