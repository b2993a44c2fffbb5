"""Tells other hosts at which version streams began, and asks them."""

import itertools
import math
import queue
import threading
from collections.abc import Callable, Collection
from dataclasses import dataclass
from typing import Protocol

from godwitladder.clock import Clock
from godwitladder.decisions.placing.stream_origins import (
    KEEP_S,
    ReleaseHistory,
    StreamName,
    StreamOrigin,
    StreamOrigins,
    choose_replica_hosts,
)
from godwitladder.decisions.placing.stream_records import StreamRecord
from godwitladder.ids import HostId, ServiceName
from godwitladder.logs import component_logger
from godwitladder.membership.codec import encode, peer_message
from godwitladder.membership.links import Link
from godwitladder.serving.entry_history import EntryHistory
from godwitladder.serving.stream_recorder import StreamRecorder
from godwitladder.untrusted import MAX_NAME_CHARS

log = component_logger("streams")

ANSWER_TIMEOUT_S = 0.3
"""Longest wait for peers that are asked: some round trips, or a busy peer's pause."""


@peer_message
@dataclass(frozen=True)
class StreamBegan:
    """A stream has begun, as told to the hosts that hold a replica."""

    stream: StreamName
    origin: StreamOrigin


@peer_message
@dataclass(frozen=True)
class OriginWanted:
    """Question where a stream began."""

    question: int
    stream: StreamName


@peer_message
@dataclass(frozen=True)
class OriginKnown:
    """Answer to `OriginWanted`; the origin is None if it is not known.

    Attributes
    ----------
    is_ambiguous : bool
        Whether equal requests are known to have begun at different versions.
    watched_s : float
        Time since the answering host began to record streams, in seconds; 0 from hosts
        that don't tell.
    """

    question: int
    origin: StreamOrigin | None
    is_ambiguous: bool = False
    watched_s: float = 0.0


class Peers(Protocol):
    """The links to other hosts, as `Mesh` has them."""

    def current(self) -> list[Link]:
        """Return the links that are up."""

    def send(self, host: HostId, message) -> bool:
        """Send a message to a host; return whether there is a link to it."""

    def multicast(self, links: Collection[Link], data: bytes) -> None:
        """Send encoded data over some links."""


class StreamOriginRegistry:
    """Finds out at which version a stream began, on any host.

    Parameters
    ----------
    host : HostId
        This host.
    peers : Peers
        The links to other hosts.
    clock : Clock
        The host's clock.
    is_current : callable
        Returns whether the known list of targets is that of the store.

    Attributes
    ----------
    hubs : frozenset of HostId
        Hosts to which all others are linked; empty in a full mesh.
    present : frozenset of StreamOrigin
        Services and versions that targets have now.
    target_count : int
        Number of targets now.
    questions : dict
        Queue of the answers to each open question of this host.
    started : float
        Monotonic time since which this host records streams, in seconds.
    hosts : frozenset of HostId
        Live hosts.
    lost_at : float
        Monotonic time at which a host was last lost, in seconds.
    recorder : StreamRecorder or None
        Writes streams to the store and finds them there; None without a store.
    entry_history : EntryHistory or None
        Tells which versions targets had before this host started; None without a store.
    """

    def __init__(
        self,
        host: HostId,
        peers: Peers,
        clock: Clock,
        is_current: Callable[[], bool] = lambda: True,
    ) -> None:
        self.host = host
        self.is_current = is_current
        self.peers = peers
        self.clock = clock
        self.hubs: frozenset[HostId] = frozenset()
        self.present: frozenset[StreamOrigin] = frozenset()
        self.target_count = 0
        self.origins = StreamOrigins()
        self.history = ReleaseHistory()
        self.questions: dict[int, queue.SimpleQueue[OriginKnown]] = {}
        self.numbers = itertools.count(1)
        self.started = clock.monotonic()
        self.hosts: frozenset[HostId] = frozenset()
        self.lost_at = -math.inf
        self.recorder: StreamRecorder | None = None
        self.entry_history: EntryHistory | None = None
        self.lock = threading.Lock()

    def update_targets(self, targets: Collection[StreamOrigin]) -> None:
        """Set which version each target has, leaving ones included."""
        present = frozenset(targets)
        self.target_count = len(targets)
        with self.lock:
            self.history.observe(self.present, self.clock.monotonic())
            self.present = present
            self.history.observe(present, self.clock.monotonic())

    def update_hosts(self, hosts: Collection[HostId]) -> None:
        """Set the live hosts; what a lost one knew may be lost with it."""
        if not self.hosts <= set(hosts):
            self.lost_at = self.clock.monotonic()
        self.hosts = frozenset(hosts)

    def record(
        self, stream: StreamName, origin: StreamOrigin, goes_on: bool = False
    ) -> None:
        """Record that a stream has begun, before its first event is passed on.

        Other hosts are told unless they can tell by themselves.

        Parameters
        ----------
        goes_on : bool
            Whether an earlier attempt had brought its first event.
        """
        # It would be sent to other hosts, and fill what one write may hold.
        if len(stream.attempt) > MAX_NAME_CHARS:
            return
        now = self.clock.monotonic()
        if self.recorder is not None:
            self.recorder.record(StreamRecord(stream, origin, goes_on))
        with self.lock:
            self.origins.record(stream, origin, now)
        if self.find_only(origin.service) is not None:
            return
        for host in choose_replica_hosts(self.candidates(), self.host, stream.attempt):
            self.peers.send(host, StreamBegan(stream, origin))

    def find(
        self, service: ServiceName, stream: StreamName, lasts_s: float = KEEP_S
    ) -> StreamOrigin | None:
        """Return where a stream that is taken up began; None if nobody knows.

        Parameters
        ----------
        service : ServiceName
            The service that it has if it has had one version alone.
        stream : StreamName
            What the caller says of the stream.
        lasts_s : float
            Longest time that such a stream may have lasted, in seconds.
        """
        if len(stream.attempt) > MAX_NAME_CHARS:
            return None
        if stream.attempt:
            origin = self.find_named(stream)
        else:
            origin = self.find_unnamed(stream)
        source = "hosts"
        if origin is None and not self.is_ambiguous(stream):
            origin, source = self.find_only(service), "only version"
            if origin is None:
                origin, source = self.find_only_before(service, lasts_s), "entries"
        if origin is None and self.may_be_recorded(stream):
            origin, source = self.recorder.find(stream), "store"
        extra = {
            "resumes": stream.attempt,
            "body": stream.body[:8],
            "service": origin.service if origin else service,
            "release": origin.release if origin else "",
            "known_from": source if origin else "",
        }
        log.info("A stream is taken up", extra=extra)
        return origin

    def find_named(self, stream: StreamName) -> StreamOrigin | None:
        """Return what any host knows of a stream whose first attempt is named."""
        with self.lock:
            origin = self.origins.find(stream)
        if origin is not None:
            return origin
        answers = self.ask(stream, lambda answer: answer.origin is not None)
        return next((row.origin for row in answers if row.origin is not None), None)

    def may_be_recorded(self, stream: StreamName) -> bool:
        """Return whether the store may tell of a stream that no host knows.

        What hosts know of a request without a named attempt is of newer streams, or of
        several.
        """
        if self.recorder is None:
            return False
        if stream.attempt:
            return True
        links = self.candidate_links()
        answers = self.ask(stream, knows_request)
        with self.lock:
            own = OriginKnown(
                0, self.origins.find(stream), self.origins.is_ambiguous(stream)
            )
        is_unknown = not any(map(knows_request, (own, *answers)))
        return is_unknown and len(answers) == len(links)

    def has_versions(self, service: ServiceName) -> bool:
        """Return whether a service has had targets of several versions of late."""
        with self.lock:
            now = self.clock.monotonic()
            releases = self.history.recent_releases(service, self.present, now)
        return len(releases) > 1

    def find_unnamed(self, stream: StreamName) -> StreamOrigin | None:
        """Return the origin of all streams of equal requests, if they have one.

        Any host may have begun another such stream at another version. All have to
        answer, to agree, and to have been there since before the stream can have begun:
        what a younger one knows is of newer streams alone.
        """
        count = len(self.candidate_links())
        answers = self.ask(stream, lambda answer: answer.is_ambiguous)
        with self.lock:
            known = {row.origin for row in answers} | {self.origins.find(stream)}
        known.discard(None)
        is_ambiguous = any(row.is_ambiguous for row in answers)
        if is_ambiguous or len(answers) < count or len(known) != 1:
            return None
        return known.pop() if self.have_watched_s(answers) >= KEEP_S else None

    def have_watched_s(self, answers: Collection[OriginKnown]) -> float:
        """Return for how long all hosts have recorded streams, in seconds.

        Parameters
        ----------
        answers : collection of OriginKnown
            The answers of all peers that may know a stream.
        """
        since_loss_s = self.clock.monotonic() - self.lost_at
        watched = [row.watched_s for row in answers]
        return min(self.watched_s(), since_loss_s, *watched)

    def watched_s(self) -> float:
        """Return for how long this host has recorded streams, in seconds."""
        return self.clock.monotonic() - self.started

    def is_ambiguous(self, stream: StreamName) -> bool:
        """Return whether this host knows equal requests of different versions."""
        with self.lock:
            return self.origins.is_ambiguous(stream)

    def find_only(
        self, service: ServiceName, for_s: float = KEEP_S
    ) -> StreamOrigin | None:
        """Return the only version that a service has had for ``for_s`` seconds, if any.

        A host that has lost the store does not see a version that is new.
        """
        if not self.is_current():
            return None
        with self.lock:
            now = self.clock.monotonic()
            release = self.history.only_release(service, self.present, now, for_s)
        return None if release is None else StreamOrigin(service, release)

    def find_only_before(
        self, service: ServiceName, lasts_s: float
    ) -> StreamOrigin | None:
        """Do what `find_only` does on a host that has just started.

        Parameters
        ----------
        lasts_s : float
            Longest time that a stream may have lasted, in seconds: it began within.
        """
        needed_s = min(lasts_s, KEEP_S)
        if self.entry_history is None or self.watched_s() >= KEEP_S:
            return None
        past = self.entry_history.read_once(self.target_count, needed_s)
        if past is not None:
            with self.lock:
                self.history.extend(past.origins, past.covered_s, past.read_at)
        return self.find_only(service, needed_s)

    def ask(
        self, stream: StreamName, is_enough: Callable[[OriginKnown], bool]
    ) -> list[OriginKnown]:
        """Return the answers of peers, up to the first that is enough."""
        links = self.candidate_links()
        number = next(self.numbers)
        answers: queue.SimpleQueue[OriginKnown] = queue.SimpleQueue()
        self.questions[number] = answers
        try:
            self.peers.multicast(links, encode(OriginWanted(number, stream)))
            return self.collect(answers, len(links), is_enough)
        finally:
            del self.questions[number]

    def collect(
        self,
        answers: "queue.SimpleQueue[OriginKnown]",
        count: int,
        is_enough: Callable[[OriginKnown], bool],
    ) -> list[OriginKnown]:
        """Return the answers in time, ``count`` at most, up to one that is enough."""
        deadline = self.clock.monotonic() + ANSWER_TIMEOUT_S
        rows: list[OriginKnown] = []
        while len(rows) < count and not (rows and is_enough(rows[-1])):
            left_s = max(0.0, deadline - self.clock.monotonic())
            try:
                rows.append(answers.get(timeout=left_s))
            except queue.Empty:
                break
        return rows

    def candidate_links(self) -> list[Link]:
        """Return the links to the hosts that may hold a replica."""
        rows = self.peers.current()
        return [row for row in rows if not self.hubs or row.peer in self.hubs]

    def candidates(self) -> list[HostId]:
        """Return the hosts that may hold a replica and that this host is linked to."""
        return [row.peer for row in self.candidate_links()]

    def receive_began(self, link: Link, message: StreamBegan) -> None:
        """Keep the origin of a stream for another host."""
        with self.lock:
            now = self.clock.monotonic()
            self.origins.record(message.stream, message.origin, now)

    def receive_wanted(self, link: Link, message: OriginWanted) -> None:
        """Answer a peer's question."""
        with self.lock:
            origin = self.origins.find(message.stream)
            is_ambiguous = self.origins.is_ambiguous(message.stream)
        answer = OriginKnown(
            message.question, origin, is_ambiguous, watched_s=self.watched_s()
        )
        link.send(encode(answer))

    def receive_known(self, link: Link, message: OriginKnown) -> None:
        """Take a peer's answer; it may be too late."""
        answers = self.questions.get(message.question)
        if answers is not None:
            answers.put(message)


def knows_request(answer: OriginKnown) -> bool:
    """Return whether a host knows a stream of the request that it was asked for."""
    return answer.is_ambiguous or answer.origin is not None
