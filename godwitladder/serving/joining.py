"""Joins the events of a stream into one complete chat completion."""

import json
from collections.abc import Callable

from godwitladder.engines.engine import DONE, Chunk
from godwitladder.outcomes import Reason, Refusal, RequestState
from godwitladder.serving.relay import AnswerTruncated, StreamFollower
from godwitladder.untrusted import is_integer

JOINED_MEMBERS = ("role", "content")
MAX_ERROR_CHARS = 200
INVALID_EVENT = (ValueError, KeyError, TypeError, AttributeError, RecursionError)
"""What is raised for an event that is no JSON, or whose members have other types."""


def join_chunks(
    follower: StreamFollower,
    identity: str,
    model: str,
    on_progress: Callable[[int], None] = lambda tokens: None,
) -> bytes:
    """Return one complete chat completion, built from the chunks of a stream.

    Parameters
    ----------
    follower : StreamFollower
        The stream to read.
    identity : str
        Id of the completion.
    model : str
        Name of the model in the completion.
    on_progress : callable
        Called with the number of tokens so far.

    Raises
    ------
    AnswerTruncated
        The stream can't be read to its end, or holds members that can't be joined.
    """
    answer = JoinedAnswer(identity, model)
    for chunks in follower:
        on_progress(follower.progress.tokens)
        for chunk in chunks:
            if chunk.data != DONE:
                answer.add(chunk)
    return answer.to_json()


class JoinedAnswer:
    """A chat completion that is built from the events of its stream."""

    def __init__(self, identity: str, model: str) -> None:
        self.identity = identity
        self.model = model
        self.texts: dict[int, list[str]] = {}
        self.finishes: dict[int, str] = {}
        self.usage: dict = {}

    def add(self, chunk: Chunk) -> None:
        """Add one event.

        Raises
        ------
        AnswerTruncated
            The event is malformed, or has members that joining would drop.
        """
        try:
            event = json.loads(chunk.data)
            for choice in event["choices"]:
                self._add_choice(choice)
            self.usage = event.get("usage") or self.usage
        except INVALID_EVENT as error:
            problem = repr(error)[:MAX_ERROR_CHARS]
            text = f"The target's answer can't be joined: {problem}."
            refusal = Refusal(RequestState.FAILED, Reason.TARGET_LOST, text)
            raise AnswerTruncated(refusal) from error

    def _add_choice(self, choice: dict) -> None:
        index, delta = choice["index"], dict(choice["delta"])
        extra = [name for name in delta if delta[name] and name not in JOINED_MEMBERS]
        if extra:
            raise ValueError(f"{extra} can only be had streamed")
        text, finish = delta.get("content") or "", choice.get("finish_reason") or ""
        is_sound = isinstance(text, str) and isinstance(finish, str)
        if not (is_sound and is_integer(index, 0)):
            raise ValueError("a choice has values of other types")
        self.texts.setdefault(index, []).append(text)
        if finish:
            self.finishes[index] = finish

    def to_json(self) -> bytes:
        """Return the completion as JSON."""
        choices = [
            {
                "index": index,
                "message": {"role": "assistant", "content": "".join(texts)},
                "finish_reason": self.finishes.get(index),
            }
            for index, texts in sorted(self.texts.items())
        ]
        answer = {
            "id": self.identity,
            "object": "chat.completion",
            "model": self.model,
            "choices": choices,
            "usage": self.usage,
        }
        return json.dumps(answer).encode()
