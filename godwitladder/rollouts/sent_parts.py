"""Prompt parts that this host has sent to each target.

A target that has read a part before does not read it again. The first answers of a new
version would otherwise look slow beside those of an old one that holds most prompts.
"""

import threading
from collections import OrderedDict
from collections.abc import Iterable
from typing import Protocol

from godwitladder.ids import TargetName

MAX_PARTS = 16_384
"""Parts of targets that are remembered, of which each takes about 200 bytes."""


class PromptPart(Protocol):
    """Part of a prompt; parts with the same name have the same text."""

    name: str
    tokens: int


class SentParts:
    """The parts sent last, by target; thread-safe."""

    def __init__(self) -> None:
        self.sent: OrderedDict[tuple[TargetName, str], None] = OrderedDict()
        self.lock = threading.Lock()

    def take(self, target: TargetName, parts: Iterable[PromptPart]) -> int:
        """Return the tokens of ``parts`` that ``target`` has to read, and record them.

        A target continues from the first parts that it knows; it reads all parts from
        the first unknown one on.
        """
        tokens = 0
        is_known = True
        with self.lock:
            for part in parts:
                key = target, part.name
                is_known = is_known and key in self.sent
                tokens += 0 if is_known else part.tokens
                self.sent[key] = None
                self.sent.move_to_end(key)
            while len(self.sent) > MAX_PARTS:
                self.sent.popitem(last=False)
        return tokens
