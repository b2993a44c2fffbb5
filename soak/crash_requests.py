"""Requests that end the targets that run them, and the sound ones beside them."""

import enum
import random
from dataclasses import dataclass

from godwitladder.platform import names
from soak.fleet import OTHER_KEY

KEY = "k1"
POISON_BODY = b"a request that ends its target"
SHARED_BODY = b"a request that many callers send"
BAD_PART = "bad0"
FIRST_PART = "f1"
CALLER_PARTS = ("c1", "c2", "c3")
SUBJECT_COUNT = 12
PART_TOKENS = 50
OUTPUT_TOKENS = 20


class Trigger(enum.Enum):
    """What of a request ends its targets.

    Attributes
    ----------
    BODY
        The whole request, which comes again unchanged.
    PART
        One part of its prompt, at any place between the first and the last. No two
        requests with it are alike.
    FIRST_PART
        The same, with this part first.
    """

    BODY = "body"
    PART = "part"
    FIRST_PART = "first_part"


class Group(enum.Enum):
    """Callers whose requests end no target.

    Attributes
    ----------
    OWN, SHARED
        Bodies of their own, or one that they share; no parts.
    SAME_PARTS
        The key and all parts of the bad requests, but the bad one.
    SAME_KEY
        The key of the bad requests, and no part of theirs.
    """

    OWN = "own"
    SHARED = "shared"
    SAME_PARTS = "same_parts"
    SAME_KEY = "same_key"


@dataclass(frozen=True)
class Request:
    """What a caller sends: its body, its key, and the parts of its prompt, in order."""

    body: bytes
    key: str = KEY
    parts: tuple[str, ...] = ()

    def headers(self) -> dict[str, str]:
        """Return the headers that depend on the request."""
        headers = {"Authorization": f"Bearer {self.key}"}
        if self.parts:
            prefix = ",".join(f"{part}:{PART_TOKENS}" for part in self.parts)
            headers[names.PREFIX] = prefix
            headers[names.TOKENS] = f"{PART_TOKENS * len(self.parts)},{OUTPUT_TOKENS}"
        return headers


def make_bad_request(
    trigger: Trigger, number: int, workspaces: int, rng: random.Random
) -> Request:
    """Return a request that ends its targets, the ``number``-th of a run.

    ``workspaces`` is the number of workspaces, 1 or 2, that take turns.
    """
    if trigger is Trigger.BODY:
        return Request(POISON_BODY)
    shared = shared_parts(rng)
    place = 0 if trigger is Trigger.FIRST_PART else rng.randint(1, len(shared))
    parts = [*shared[:place], BAD_PART, *shared[place:], f"bad-own{number}"]
    key = OTHER_KEY if workspaces > 1 and number % 2 else KEY
    return Request(b"bad request %d" % number, key, tuple(parts))


def make_sound_request(group: Group, name: str, rng: random.Random) -> Request:
    """Return the request of a group's caller with the unique ``name``."""
    body = SHARED_BODY if group is Group.SHARED else name.encode()
    if group is Group.SAME_PARTS:
        return Request(body, parts=(*shared_parts(rng), f"own-{name}"))
    if group is Group.SAME_KEY:
        caller = name.partition("-")[0]
        return Request(body, parts=(f"first-{caller}", f"own-{name}"))
    return Request(body)


def shared_parts(rng: random.Random) -> tuple[str, ...]:
    """Return the parts that bad and sound requests share, for one subject."""
    return (FIRST_PART, rng.choice(CALLER_PARTS), f"s{rng.randrange(SUBJECT_COUNT)}")
