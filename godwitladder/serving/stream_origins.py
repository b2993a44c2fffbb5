"""Tells other hosts at which version streams began, and asks them."""

import itertools
import queue
import threading
from collections.abc import Collection
from dataclasses import dataclass
from typing import Protocol

from godwitladder.clock import Clock
from godwitladder.decisions.stream_origins import (
    ReleaseHistory,
    StreamName,
    StreamOrigin,
    StreamOrigins,
    choose_replica_hosts,
)
from godwitladder.ids import HostId, ServiceName
from godwitladder.logs import component_logger
from godwitladder.membership.codec import encode, peer_message
from godwitladder.membership.links import Link

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
    """Answer to `OriginWanted`; the origin is None if it is not known."""

    question: int
    origin: StreamOrigin | None


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

    Attributes
    ----------
    hubs : frozenset of HostId
        Hosts to which all others are linked; empty in a full mesh.
    present : frozenset of StreamOrigin
        Services and versions that targets have now.
    questions : dict
        Queue of the answers to each open question of this host.
    """

    def __init__(self, host: HostId, peers: Peers, clock: Clock) -> None:
        self.host = host
        self.peers = peers
        self.clock = clock
        self.hubs: frozenset[HostId] = frozenset()
        self.present: frozenset[StreamOrigin] = frozenset()
        self.origins = StreamOrigins()
        self.history = ReleaseHistory()
        self.questions: dict[int, queue.SimpleQueue[OriginKnown]] = {}
        self.numbers = itertools.count(1)
        self.lock = threading.Lock()

    def update_targets(self, present: frozenset[StreamOrigin]) -> None:
        """Set which versions the targets have, leaving ones included."""
        with self.lock:
            self.history.observe(self.present, self.clock.monotonic())
            self.present = present
            self.history.observe(present, self.clock.monotonic())

    def record(self, stream: StreamName, origin: StreamOrigin) -> None:
        """Record that a stream has begun, before its first event is passed on.

        Other hosts are told unless they can tell by themselves.
        """
        now = self.clock.monotonic()
        with self.lock:
            self.origins.record(stream, origin, now)
            only = self.history.only_release(origin.service, self.present, now)
        if only is not None:
            return
        for host in choose_replica_hosts(self.candidates(), self.host, stream.attempt):
            self.peers.send(host, StreamBegan(stream, origin))

    def find(self, service: ServiceName, stream: StreamName) -> StreamOrigin | None:
        """Return where a stream that is taken up began; None if nobody knows.

        Parameters
        ----------
        service : ServiceName
            The service that it has if it has had one version alone.
        stream : StreamName
            What the caller says of the stream.
        """
        origin, source = self.find_locally(service, stream), "this host"
        if origin is None:
            origin, source = self.ask(stream), "peers"
        extra = {
            "resumes": stream.attempt,
            "body": stream.body[:8],
            "service": origin.service if origin else service,
            "release": origin.release if origin else "",
            "known_from": source if origin else "",
        }
        log.info("A stream is taken up", extra=extra)
        return origin

    def find_locally(
        self, service: ServiceName, stream: StreamName
    ) -> StreamOrigin | None:
        """Return what this host knows of a stream's origin."""
        with self.lock:
            origin = self.origins.find(stream)
            if origin is not None:
                return origin
            now = self.clock.monotonic()
            release = self.history.only_release(service, self.present, now)
        return None if release is None else StreamOrigin(service, release)

    def ask(self, stream: StreamName) -> StreamOrigin | None:
        """Return what any peer knows of a stream's origin."""
        links = self.candidate_links()
        number = next(self.numbers)
        answers: queue.SimpleQueue[OriginKnown] = queue.SimpleQueue()
        self.questions[number] = answers
        try:
            self.peers.multicast(links, encode(OriginWanted(number, stream)))
            return self.await_origin(answers, len(links))
        finally:
            del self.questions[number]

    def await_origin(
        self, answers: "queue.SimpleQueue[OriginKnown]", count: int
    ) -> StreamOrigin | None:
        """Return the first origin in up to ``count`` answers."""
        deadline = self.clock.monotonic() + ANSWER_TIMEOUT_S
        for _ in range(count):
            left_s = max(0.0, deadline - self.clock.monotonic())
            try:
                answer = answers.get(timeout=left_s)
            except queue.Empty:
                return None
            if answer.origin is not None:
                return answer.origin
        return None

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
        link.send(encode(OriginKnown(message.question, origin)))

    def receive_known(self, link: Link, message: OriginKnown) -> None:
        """Take a peer's answer; it may be too late."""
        answers = self.questions.get(message.question)
        if answers is not None:
            answers.put(message)
