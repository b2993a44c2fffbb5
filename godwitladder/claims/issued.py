"""Idempotency keys issued by a host, which need no claim in the log.

An issued key names the process that issued it, and only that process may
dispatch a request with it. One process therefore knows whether the key was
used, without coordination between hosts, even in an availability zone that is
partitioned from the others. Once that process is gone, it is unknown whether
the key was used, and no host runs a request with it.
"""

import base64
import enum
import hashlib
import hmac
import json
import secrets
from dataclasses import dataclass, field

from godwitladder.findings import GodwitladderError
from godwitladder.ids import BodyDigest, HostId, Incarnation, KeyDigest, WorkspaceName

PREFIX = "gwk_"
SIGNATURE_BYTES = 16
RANDOM_BYTES = 9


class ForgedKey(GodwitladderError):
    """The key has the format of an issued key, but can't be accepted as one.

    It was not signed by a host of this system, or another process issued it.
    """


@dataclass(frozen=True)
class IssuedKey:
    """Contents of an issued key.

    Attributes
    ----------
    issued : float
        Time of issue in monotonic seconds of the issuing process. No other
        process evaluates it, so the hosts' clocks need not be synchronized.
    """

    workspace: WorkspaceName
    host: HostId
    incarnation: Incarnation
    issued: float
    unique: str


class KeyUseResult(enum.Enum):
    """Result of an attempt to use an issued key."""

    GRANTED = "granted"
    SPENT = "spent"
    REUSED = "reused"
    EXPIRED = "expired"


def sign_key(secret: str, key: IssuedKey) -> str:
    """Sign ``key`` and encode it as text for a header."""
    fields = [key.workspace, key.host, key.incarnation, key.issued, key.unique]
    text = json.dumps(fields).encode()
    return PREFIX + base64.urlsafe_b64encode(_sign(secret, text) + text).decode()


def read_key(secret: str, text: str) -> IssuedKey | None:
    """Decode the issued key in ``text``; return None for a caller's own key.

    Raises
    ------
    ForgedKey
        If the key is malformed or was not signed by a host of this system.
    """
    if not text.startswith(PREFIX):
        return None
    try:
        data = base64.urlsafe_b64decode(text[len(PREFIX) :])
    except ValueError as error:
        raise ForgedKey("the key is malformed") from error
    signature, fields = data[:SIGNATURE_BYTES], data[SIGNATURE_BYTES:]
    if not hmac.compare_digest(signature, _sign(secret, fields)):
        raise ForgedKey("the key was not issued by this system")
    return IssuedKey(*json.loads(fields))


def _sign(secret: str, text: bytes) -> bytes:
    # The label prevents a signed request id from being accepted as a key.
    digest = hmac.digest(secret.encode(), b"issued key" + text, hashlib.sha256)
    return digest[:SIGNATURE_BYTES]


@dataclass
class IssuedKeys:
    """Issues keys and tracks which of them were used.

    Attributes
    ----------
    window_s : float
        How long a key may be used after it was issued, in seconds. Used keys
        are kept for the same time, so a key that is not found here is either
        unused or expired.
    used : dict
        Time of issue and body digest of each used key, by key digest.
    last_eviction : float
        Time of the last eviction of expired keys, in monotonic seconds.
    """

    host: HostId
    incarnation: Incarnation
    window_s: float
    used: dict[KeyDigest, tuple[float, BodyDigest]] = field(default_factory=dict)
    last_eviction: float = 0.0

    def issue(self, workspace: WorkspaceName, now: float) -> IssuedKey:
        """Issue a new key for ``workspace``."""
        unique = secrets.token_urlsafe(RANDOM_BYTES)
        return IssuedKey(workspace, self.host, self.incarnation, now, unique)

    def is_own(self, key: IssuedKey) -> bool:
        """Return whether this process issued ``key``."""
        return (key.host, key.incarnation) == (self.host, self.incarnation)

    def use(
        self, key: IssuedKey, digest: KeyDigest, body: BodyDigest, now: float
    ) -> KeyUseResult:
        """Use ``key`` for one request; it can be used only once.

        Raises
        ------
        ForgedKey
            If another process issued the key.
        """
        if not self.is_own(key):
            raise ForgedKey(f"{key.host} issued the key, not this process")
        if now - key.issued > self.window_s:
            return KeyUseResult.EXPIRED
        if digest in self.used:
            _, used_body = self.used[digest]
            return KeyUseResult.SPENT if used_body == body else KeyUseResult.REUSED
        self._evict_expired(now)
        self.used[digest] = (key.issued, body)
        return KeyUseResult.GRANTED

    def restore(self, digest: KeyDigest) -> None:
        """Make a key usable again after its request did not run."""
        self.used.pop(digest, None)

    def _evict_expired(self, now: float) -> None:
        if now - self.last_eviction < self.window_s / 10:
            return
        self.last_eviction = now
        oldest = now - self.window_s
        self.used = {
            digest: row for digest, row in self.used.items() if row[0] >= oldest
        }
