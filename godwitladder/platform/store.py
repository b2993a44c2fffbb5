"""Client of the platform's store.

The body of a read is binary, with big-endian integers. It starts with the end
offset of the partition and the first offset that is still kept, 8 bytes each. The
records follow, each with a 4-byte length and its content. In a keyed topic, the
content is a 1-byte key length, the key and the value.
"""

import base64
import json
import struct
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlencode

from godwitladder.clients.pools import FAILED_REQUEST, BoundedPool
from godwitladder.discovery.source import (
    NO_ERA,
    Record,
    StoreMoved,
    StoreTrimmed,
    StoreUnavailable,
)
from godwitladder.engines.answer_limits import AnswerLimits
from godwitladder.ids import Era
from godwitladder.platform import names
from godwitladder.untrusted import is_integer

TIMEOUT_S = 1.0
"""Timeout in seconds, since a connection may stay silent forever. The store
answers within 4 ms, and within 250 ms while it is slow; this is four times that."""
MAX_QUOTED_BYTES = 64
"""Part of an answer that an error message quotes."""
MAX_ANSWER_BYTES = 4_194_304
"""A page has up to 1 MB, and a read up to 2 MB of records."""
MAX_PAGES = 4_096
MAX_REPEATED_PAGES = 64
"""Pages that end where the page before them ended; a sound store has none."""
MAX_ERA_DIGITS = 18
MAX_TOPIC_BYTES = 33_554_432
"""Size of all pages of a topic. A fleet of a thousand hosts and targets has less than
1 MB of entries, and a document of all its workspaces less than that."""
MAX_IDLE_CONNECTIONS = 4
"""Connections that are kept: of two reads at once, and of the parts that write."""
ANSWER_LIMITS = AnswerLimits(body_bytes=MAX_ANSWER_BYTES)
INVALID_PAGE = (KeyError, IndexError, TypeError, ValueError, AttributeError)
"""What is raised for a page whose values are missing or of another type."""
HEADER = struct.Struct(">QQ")
RECORD_LENGTH = struct.Struct(">I")


@dataclass(frozen=True)
class StoreRecords:
    """Records of one topic.

    Attributes
    ----------
    next : int
        Offset of the next read.
    era : Era
        Era in which the offsets count.
    end : int
        Offset at which the topic ended; beyond ``next`` if there are more records.
    """

    records: tuple[Record, ...]
    next: int
    era: Era
    end: int


@dataclass(frozen=True)
class StoreAnswer:
    """Body of an answer, and the era that it was given in."""

    data: bytes
    era: Era


class StoreClient:
    """Reads and appends records of keyed topics with one partition.

    Parameters
    ----------
    address : str
        ``address:port`` of the store.

    Attributes
    ----------
    era : Era
        Era of the last answer that named one; it holds for those that name none.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.pool = make_pool(address)
        self.former_connections = 0
        self.era = NO_ERA

    @property
    def connections(self) -> int:
        """Number of connections that were opened so far."""
        return self.former_connections + self.pool.num_connections

    def use(self, address: str) -> None:
        """Use the store at ``address`` from now on."""
        if address == self.address:
            return
        former, self.pool = self.pool, make_pool(address)
        self.address = address
        self.former_connections += former.num_connections + 1
        self.era = NO_ERA
        former.close()

    def close(self) -> None:
        """Close the pooled connections."""
        self.pool.close()

    def newest(self, topic: str) -> StoreRecords:
        """Return the newest record of each key of ``topic``.

        The pages are not a consistent snapshot. The next read starts at the end
        offset of the first page, so that it covers records that were appended
        between two pages.

        Raises
        ------
        StoreUnavailable
            The store did not return valid pages of one era, or has more than a topic
            may hold.
        """
        records: list[Record] = []
        end: int | None = None
        eras = set()
        after = ""
        size = repeated = 0
        for _ in range(MAX_PAGES):
            query = {"topic": topic, "part": 0} | ({"after": after} if after else {})
            answer = self._request("GET", names.NEWEST, query)
            page, era = _parse_json(names.NEWEST, answer.data), answer.era
            size += len(answer.data)
            if size > MAX_TOPIC_BYTES:
                raise StoreUnavailable(f"{topic} has more than {MAX_TOPIC_BYTES} bytes")
            eras.add(era)
            if len(eras) > 1:
                raise StoreUnavailable(f"the pages are of the eras {sorted(eras)}")
            try:
                end = _parse_offset(page["endOffset"]) if end is None else end
                rows = page["entries"]
                records += [_parse_newest_record(row) for row in rows]
                if not page.get("hasMore") or not rows:
                    return StoreRecords(tuple(records), end, era, end)
                before, after = after, str(rows[-1]["key"])
            except INVALID_PAGE as error:
                raise StoreUnavailable(f"invalid page of records: {error!r}") from error
            repeated += after == before
            if repeated >= MAX_REPEATED_PAGES:
                raise StoreUnavailable(f"the pages of {topic} repeat")
        raise StoreUnavailable(f"{topic} has more than {MAX_PAGES} pages")

    def read(self, topic: str, offset: int) -> StoreRecords:
        """Return the records of ``topic`` from ``offset`` on, as many as one read has.

        Raises
        ------
        StoreTrimmed
            The store does not have the records at ``offset``; `newest` still
            returns the newest record of each key.
        StoreUnavailable
            The store did not return a valid body.
        """
        query = {"topic": topic, "part": 0, "from": offset}
        answer = self._request("GET", names.READ, query)
        records = parse_records(answer.data, offset)
        end, _ = HEADER.unpack_from(answer.data)
        return StoreRecords(records, offset + len(records), answer.era, end)

    def append(self, topic: str, key: str, value: bytes, at: int | None = None) -> None:
        """Append one record; an empty value removes the key.

        Parameters
        ----------
        at : int or None
            Offset that the topic must end at when the record is appended, however
            late that is; None to append it anywhere.

        Raises
        ------
        StoreMoved
            The topic does not end at ``at``; nothing was appended.
        StoreUnavailable
            The record may have been appended, or may be appended later.
        """
        query = {"topic": topic, "part": 0} | ({} if at is None else {"at": at})
        self._request("POST", names.APPEND, query, _encode_record(key, value))

    def append_all(self, topic: str, records: Mapping[str, bytes]) -> None:
        """Append a record for each key, all or none; an empty value removes the key.

        Raises
        ------
        StoreUnavailable
            The records may have been appended, or may be appended later.
        """
        body = b"".join(_encode_record(key, value) for key, value in records.items())
        self._request("POST", names.APPEND, {"topic": topic, "part": 0}, body)

    def _request(
        self, method: str, path: str, query: dict, body: bytes | None = None
    ) -> StoreAnswer:
        try:
            answer = self.pool.request(
                method,
                f"{path}?{urlencode(query, errors='surrogatepass')}",
                body=body,
                decode_content=False,
            )
        except FAILED_REQUEST as error:
            raise StoreUnavailable(f"{path} did not answer: {error}") from error
        if answer.status == 410:
            text = f"{path}: the store does not have the records"
            raise StoreTrimmed(text, _parse_first_offset(answer.data))
        if answer.status == 412:
            raise StoreMoved(f"{path}: {answer.data[:MAX_QUOTED_BYTES]!r}")
        if answer.status != 200:
            raise StoreUnavailable(f"{path} returned HTTP status {answer.status}")
        # Two threads may read at once.
        era = _parse_era(answer.headers.get(names.STORE_ERA), self.era)
        self.era = era
        return StoreAnswer(answer.data, era)


def make_pool(address: str) -> BoundedPool:
    """Return a pool of connections to the store at ``address``."""
    host, _, port = address.rpartition(":")
    return BoundedPool(
        host,
        int(port),
        maxsize=MAX_IDLE_CONNECTIONS,
        retries=False,
        timeout=TIMEOUT_S,
        limits=ANSWER_LIMITS,
    )


def _parse_json(path: str, data: bytes) -> dict:
    try:
        body = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise StoreUnavailable(f"{path} returned invalid JSON: {error}") from error
    if not isinstance(body, dict):
        raise StoreUnavailable(
            f"{path} returned a JSON {type(body).__name__}, not an object"
        )
    return body


def _parse_first_offset(data: bytes) -> int:
    """Return the first offset that the store has; 0 if it does not tell."""
    try:
        first = _parse_json(names.READ, data).get("firstOffset", 0)
    except StoreUnavailable:
        return 0
    return first if is_integer(first, 0) else 0


def _parse_era(text: str | None, default: Era) -> Era:
    if text is None or not (text.isascii() and text.isdigit()):
        return default
    if len(text) > MAX_ERA_DIGITS:
        return default
    return Era(int(text))


def parse_records(data: bytes, offset: int) -> tuple[Record, ...]:
    """Return the records in the body of a read from ``offset``.

    Raises
    ------
    StoreUnavailable
        The body is truncated or has no header.
    """
    if len(data) < HEADER.size:
        raise StoreUnavailable(f"a body of {len(data)} bytes has no complete header")
    records = []
    position = HEADER.size
    while position < len(data):
        try:
            (length,) = RECORD_LENGTH.unpack_from(data, position)
        except struct.error as error:
            raise StoreUnavailable("the body of a read is truncated") from error
        content = data[
            position + RECORD_LENGTH.size : position + RECORD_LENGTH.size + length
        ]
        if len(content) < length:
            raise StoreUnavailable("the body of a read is truncated")
        records.append(_parse_keyed_record(offset + len(records), content))
        position += RECORD_LENGTH.size + length
    return tuple(records)


def _encode_record(key: str, value: bytes) -> bytes:
    name = key.encode()
    content = bytes([len(name)]) + name + value
    return RECORD_LENGTH.pack(len(content)) + content


def _parse_keyed_record(offset: int, content: bytes) -> Record:
    end = 1 + (content[0] if content else 0)
    return Record(offset, content[1:end].decode(errors="replace"), content[end:])


def _parse_newest_record(row: dict) -> Record:
    value = base64.b64decode(row.get("value") or "")
    # A read returns the bytes of the key, in which the same key has to look the same.
    key = str(row["key"]).encode(errors="surrogatepass").decode(errors="replace")
    return Record(_parse_offset(row["offset"]), key, value)


def _parse_offset(value: Any) -> int:
    if not is_integer(value, 0):
        raise ValueError("an offset is no integer")
    return value
