"""Reads and writes the platform's headers of requests and answers."""

import math
from collections.abc import Iterable, Mapping

from godwitladder.decisions.placing.stated_load import StatedLoad
from godwitladder.ids import TargetName
from godwitladder.logs import component_logger
from godwitladder.platform import names
from godwitladder.routing.calls import (
    AnswerMetadata,
    CallMetadata,
    DispatchMetadata,
    Headers,
    PromptPart,
)
from godwitladder.untrusted import MAX_COUNT, parse_count

log = component_logger("platform")

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "trailers",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
BEARER = "bearer "
IS_LEAVING = "1"
MAX_LOGGED_CHARS = 64
USUAL_SLOWDOWN = 100
"""The fourth figure of a load report of a target on which work takes as long as usual.
"""
MAX_SLOWDOWN = 100.0
"""Work that takes longer than this multiple of the usual time is not believed."""
MAX_LOAD_CHARS = 48
MAX_LOAD_COUNT = 1_000_000


class PlatformHeaders:
    """Implements `HeaderCodec` with the names of the platform's headers.

    Attributes
    ----------
    invalid_loads : int
        Number of invalid load reports so far.
    """

    def __init__(self) -> None:
        self.invalid_loads = 0

    def read_call(self, headers: Headers) -> CallMetadata:
        """Return the data in a caller's headers; invalid values count as not sent."""
        found = {name.lower(): value for name, value in headers}
        prompt, output = _parse_token_counts(found.get(names.TOKENS.lower(), ""))
        deadline = _parse_positive_number(found.get(names.DEADLINE_MS.lower(), ""))
        authorization = found.get("authorization", "")
        bearer = authorization.lower().startswith(BEARER)
        return CallMetadata(
            attempt=found.get(names.ATTEMPT.lower(), ""),
            wait_s=deadline / 1000 if deadline else None,
            key=authorization[len(BEARER) :].strip() if bearer else "",
            prompt_tokens=prompt,
            output_tokens=output,
            output_hint=int(
                _parse_positive_number(found.get(names.LENGTH_HINT.lower(), "")) or 0
            ),
            parts=_parse_prompt_parts(found.get(names.PREFIX.lower(), "")),
            last_event=found.get(names.LAST_EVENT.lower(), ""),
            resumes=found.get(names.RESUMES.lower(), ""),
        )

    def for_target(
        self, headers: Headers, send: DispatchMetadata
    ) -> list[tuple[str, str]]:
        """Return the caller's end-to-end headers, with those that the system sets."""
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

    def for_probe(self, target: TargetName) -> Headers:
        """Return the headers of a health check that no other target may answer."""
        return ((names.EXPECT_INSTANCE, target),)

    def read_instance(self, headers: Mapping[str, str]) -> str:
        """Return the name of the target that answers one; empty if not stated."""
        return headers.get(names.INSTANCE, "")

    def read_answer(self, headers: Mapping[str, str]) -> AnswerMetadata:
        """Return the data in a target's headers."""
        return AnswerMetadata(
            attempt=headers.get(names.ATTEMPT, ""),
            signature=headers.get(names.SIGNATURE, ""),
            not_run=names.NOT_EXECUTED in headers,
            rate_limit=_parse_number(headers, names.RATE_LIMIT),
            leaving=headers.get(names.LEAVING) == IS_LEAVING,
            retry_after_s=_parse_number(headers, names.RETRY_AFTER),
            max_refusals_per_s=_parse_number(headers, names.BRITTLE),
            load=self.read_load(headers.get(names.LOAD)),
        )

    def read_load(self, text: str | None) -> StatedLoad | None:
        """Return a target's report of its load; None if there is none or it is invalid.

        Every answer may hold one, so only the first, second, fourth, eighth and so on
        of the invalid reports are logged.
        """
        if text is None:
            return None
        load = _parse_load(text)
        if load is None:
            self.invalid_loads += 1
            if self.invalid_loads.bit_count() == 1:
                extra = {
                    "header": names.LOAD,
                    "value": text[:MAX_LOGGED_CHARS],
                    "invalid_reports": self.invalid_loads,
                }
                log.info("A load report of a target is invalid", extra=extra)
        return load

    def for_caller(self, headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
        """Return the end-to-end headers of a target's answer."""
        return [row for row in headers if row[0].lower() not in HOP_BY_HOP]


def _parse_positive_number(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    return value if 0 < value < MAX_COUNT else None


def _parse_number(headers: Mapping[str, str], name: str) -> float | None:
    """Return a number from 0 to `MAX_COUNT`; None if there is none or it is invalid."""
    text = headers.get(name)
    if text is None:
        return None
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if 0 <= value <= MAX_COUNT:
        return value
    extra = {"header": name, "value": text[:MAX_LOGGED_CHARS]}
    log.info("A header of a target is invalid", extra=extra)
    return None


def _parse_load(text: str) -> StatedLoad | None:
    figures = text.split(",") if len(text) <= MAX_LOAD_CHARS else ()
    if not 3 <= len(figures) <= 4:
        return None
    try:
        running, waiting, slots = map(int, figures[:3])
        slowdown = float(figures[3]) / USUAL_SLOWDOWN if figures[3:] else None
    except ValueError:
        return None
    if not (0 <= min(running, waiting) and max(running, waiting) <= MAX_LOAD_COUNT):
        return None
    if not 1 <= slots <= MAX_LOAD_COUNT:
        return None
    if slowdown is not None and not 0 < slowdown <= MAX_SLOWDOWN:
        return None
    return StatedLoad(running, waiting, slots, slowdown)


def _parse_token_counts(text: str) -> tuple[int, int]:
    first, _, second = text.partition(",")
    prompt, output = parse_count(first.strip()), parse_count(second.strip())
    if prompt is None or output is None:
        return 0, 0
    return prompt, output


def _parse_prompt_parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for item in text.split(",") if text else ():
        name, _, text = item.strip().partition(":")
        tokens = parse_count(text)
        if tokens is None:
            return ()
        parts.append(PromptPart(name, tokens))
    return tuple(parts)
