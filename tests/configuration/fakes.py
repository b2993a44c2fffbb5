"""A log in memory and hosts on it, without threads or network."""

from godwitladder.clients.log import LogNotReached, LogUnavailable, Page, Record
from godwitladder.clock import ManualClock
from godwitladder.configuration.follower import ConfigFollower
from godwitladder.configuration.messages import ConfigRequest
from godwitladder.ids import HostId, Offset


class FakeLog:
    """Streams in memory."""

    def __init__(self, clock):
        self.clock = clock
        self.records = {}
        self.first = {}
        self.page_records = 1000

    def append(self, stream, records):
        rows = self.records.setdefault(stream, [])
        start = self.first.get(stream, 0) + len(rows)
        for index, data in enumerate(records):
            rows.append(Record(Offset(start + index), self.clock.wall(), data))
        return Offset(start)

    def read(self, stream, start, wait_s=0.0):
        rows = self.records.get(stream, [])
        first = self.first.get(stream, 0)
        found = [row for row in rows if row.offset >= start][: self.page_records]
        return Page(Offset(first), Offset(first + len(rows)), tuple(found))

    def expire(self, stream, count):
        """Drop the ``count`` oldest records."""
        rows = self.records.get(stream, [])
        count = min(count, len(rows))
        del rows[:count]
        self.first[stream] = self.first.get(stream, 0) + count


class FakeClient:
    """One host's way to the log, which may be cut off or lose answers."""

    def __init__(self, log):
        self.log = log
        self.disconnected = False
        self.lost_answers = 0
        self.after_append = lambda: None

    def append(self, stream, records):
        if self.disconnected:
            raise LogNotReached("cut off")
        offset = self.log.append(stream, records)
        self.after_append()
        if self.lost_answers:
            self.lost_answers -= 1
            raise LogUnavailable("the answer was lost")
        return offset

    def read(self, stream, start, wait_s=0.0):
        if self.disconnected:
            raise LogNotReached("cut off")
        return self.log.read(stream, start, wait_s)


class FakeHosts:
    """Followers that share a log and hear each other when told to."""

    def __init__(self, count=1, clock=None):
        self.clock = clock or ManualClock()
        self.log = FakeLog(self.clock)
        self.followers = {}
        self.clients = {}
        self.published = {}
        for index in range(count):
            self.add(f"host-{index}")

    def add(self, name):
        """Start a host anew, with nothing kept."""
        self.published[name] = []

        def publish(ledger):
            self.published[name].append(ledger.next)

        client = self.clients.setdefault(name, FakeClient(self.log))
        follower = ConfigFollower(client, self.clock, publish, HostId(name))
        follower.send = lambda host, message: self.deliver(host, name, message)
        self.followers[name] = follower
        return follower

    def deliver(self, host, sender, message):
        """Carry a request to ``host`` and its answer back."""
        assert isinstance(message, ConfigRequest)
        answer = self.followers[host].answer()
        if answer:
            self.followers[sender].take_state(answer)
        return True

    def heartbeat(self, sender, host):
        """Let ``host`` hear the offset of ``sender``."""
        self.followers[host].hear(HostId(sender), self.followers[sender].ledger.next)

    def submit(self, text):
        return self.log.append("config", [text.encode()])

    def follow(self, name, reads=5):
        for _ in range(reads):
            self.followers[name].follow_once()
        return self.followers[name]


def ticket(number, body, operator="hanna"):
    """Return a ticket's text; ``body`` is TOML of its tables."""
    return f'number = {number}\noperator = "{operator}"\nreason = "a test"\n{body}'


def tier(name, rank=0):
    return f"[tiers.{name}]\nrank = {rank}\n"
