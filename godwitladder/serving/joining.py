"""Joins the events of a stream into one whole chat completion."""

import json
from collections.abc import Callable

from godwitladder.engines.engine import DONE, Chunk
from godwitladder.outcomes import Reason, Refusal, RequestState
from godwitladder.serving.relay import AnswerTruncated, StreamFollower

JOINED_MEMBERS = ("role", "content")


def join_chunks(
    follower: StreamFollower,
    identity: str,
    model: str,
    report: Callable[[int], None] = lambda tokens: None,
) -> bytes:
    """Return one whole chat completion from the chunks of a stream.

    Parameters
    ----------
    report : callable
        Called with the tokens seen so far.

    Raises
    ------
    AnswerTruncated
        The stream can't be had to its end, or holds what can't be joined.
    """
    answer = JoinedAnswer(identity, model)
    for chunks in follower:
        report(follower.tally.tokens)
        for chunk in chunks:
            if chunk.data != DONE:
                answer.add(chunk)
    return answer.to_json()


class JoinedAnswer:
    """A chat completion that grows by the events of its stream."""

    def __init__(self, identity: str, model: str) -> None:
        self.identity = identity
        self.model = model
        self.texts: dict[int, list[str]] = {}
        self.finishes: dict[int, str] = {}
        self.usage: dict = {}

    def add(self, chunk: Chunk) -> None:
        """Take in one event.

        Raises
        ------
        AnswerTruncated
            The event is malformed, or has members that would be left out.
        """
        try:
            event = json.loads(chunk.data)
            for choice in event["choices"]:
                self._add_choice(choice)
            self.usage = event.get("usage") or self.usage
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            text = f"The target's answer can't be joined: {error!r}."
            refusal = Refusal(RequestState.FAILED, Reason.TARGET_LOST, text)
            raise AnswerTruncated(refusal) from error

    def _add_choice(self, choice: dict) -> None:
        index, delta = choice["index"], choice["delta"]
        extra = [name for name in delta if delta[name] and name not in JOINED_MEMBERS]
        if extra:
            raise ValueError(f"{extra} can only be had streamed")
        self.texts.setdefault(index, []).append(delta.get("content") or "")
        if choice.get("finish_reason"):
            self.finishes[index] = choice["finish_reason"]

    def to_json(self) -> bytes:
        """Return the completion."""
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
