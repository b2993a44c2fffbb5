"""Reads and writes the headers of calls on the platform."""

from collections.abc import Iterable, Mapping

from godwitladder.platform import names
from godwitladder.routing.calls import (
    AnswerMetadata,
    CallMetadata,
    DispatchMetadata,
    Headers,
    PromptPart,
)

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
BEARER = "bearer "


class PlatformHeaders:
    """What the headers of a call say, in the platform's names."""

    def read_call(self, headers: Headers) -> CallMetadata:
        """Return what a caller's headers say; what can't be read counts as absent."""
        found = {name.lower(): value for name, value in headers}
        prompt, output = _pair(found.get(names.TOKENS.lower(), ""))
        deadline = _number(found.get(names.DEADLINE_MS.lower(), ""))
        authorization = found.get("authorization", "")
        bearer = authorization.lower().startswith(BEARER)
        return CallMetadata(
            attempt=found.get(names.ATTEMPT.lower(), ""),
            wait_s=deadline / 1000 if deadline else None,
            key=authorization[len(BEARER) :].strip() if bearer else "",
            prompt_tokens=prompt,
            output_tokens=output,
            output_hint=int(_number(found.get(names.LENGTH_HINT.lower(), "")) or 0),
            parts=_parts(found.get(names.PREFIX.lower(), "")),
            last_event=found.get(names.LAST_EVENT.lower(), ""),
        )

    def for_target(
        self, headers: Headers, send: DispatchMetadata
    ) -> list[tuple[str, str]]:
        """Return the headers to send on: the caller's own and the system's."""
        kept = [
            (name, value)
            for name, value in headers
            if name.lower() not in HOP_BY_HOP
            and name.lower() not in names.SYSTEM_HEADERS
        ]
        kept.append((names.DEADLINE_MS, str(max(1, int(send.left_s * 1000)))))
        kept.append((names.EXPECT_INSTANCE, send.target))
        if send.workspace:
            kept.append((names.WORKSPACE, send.workspace))
        if send.last_event:
            kept = [row for row in kept if row[0].lower() != names.LAST_EVENT.lower()]
            kept.append((names.LAST_EVENT, send.last_event))
        return kept

    def read_answer(self, headers: Mapping[str, str]) -> AnswerMetadata:
        """Return what a target's headers say."""
        return AnswerMetadata(
            attempt=headers.get(names.ATTEMPT, ""),
            signature=headers.get(names.SIGNATURE, ""),
            not_run=names.NOT_EXECUTED in headers,
        )

    def for_caller(self, headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
        """Return the headers of a target's answer that go back to the caller."""
        return [row for row in headers if row[0].lower() not in HOP_BY_HOP]


def _number(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0 < value < 1e9 else None


def _pair(text: str) -> tuple[int, int]:
    first, _, second = text.partition(",")
    if not (first.strip().isdecimal() and second.strip().isdecimal()):
        return 0, 0
    return int(first), int(second)


def _parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for item in text.split(",") if text else ():
        name, _, tokens = item.strip().partition(":")
        if not tokens.isdecimal():
            return ()
        parts.append(PromptPart(name, int(tokens)))
    return tuple(parts)
