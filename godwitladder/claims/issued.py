"""Keys that a host issues, which need no log.

An issued key names the process that issued it, and only that process may
dispatch it: whether the key was used is then known to one process, without
any agreement, also in an availability zone that is cut off. If the process is
gone, nobody can know whether the key was used, and no host runs it.
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
    """The key has the form of an issued one, and no host has signed it."""


@dataclass(frozen=True)
class IssuedKey:
    """What an issued key tells.

    Attributes
    ----------
    issued : float
        Monotonic seconds of the issuing process. No other process reads it,
        so the hosts' clocks need not agree.
    """

    workspace: WorkspaceName
    host: HostId
    incarnation: Incarnation
    issued: float
    unique: str


class KeyUseResult(enum.Enum):
    """What became of the use of an issued key."""

    GRANTED = "granted"
    SPENT = "spent"
    REUSED = "reused"
    EXPIRED = "expired"


def sign_key(secret: str, key: IssuedKey) -> str:
    """Return ``key`` as text for a header."""
    fields = [key.workspace, key.host, key.incarnation, key.issued, key.unique]
    text = json.dumps(fields).encode()
    return PREFIX + base64.urlsafe_b64encode(_sign(secret, text) + text).decode()


def read_key(secret: str, text: str) -> IssuedKey | None:
    """Return what the issued key ``text`` tells; None for a caller's own key.

    Raises
    ------
    ForgedKey
        The key was not signed by a host of this system.
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
    # The label keeps a signed request id from passing as a key.
    digest = hmac.digest(secret.encode(), b"issued key" + text, hashlib.sha256)
    return digest[:SIGNATURE_BYTES]


@dataclass
class IssuedKeys:
    """The keys that this process issued, as far as they were used.

    Attributes
    ----------
    window_s : float
        How long a key may be used after its issue. A used key is remembered
        as long, so that a key not found here is unused or refused by its age.
    spent : dict
        Time of issue and body for each used key.
    """

    host: HostId
    incarnation: Incarnation
    window_s: float
    spent: dict[KeyDigest, tuple[float, BodyDigest]] = field(default_factory=dict)
    forgotten: float = 0.0

    def issue(self, workspace: WorkspaceName, now: float) -> IssuedKey:
        """Return a new key."""
        unique = secrets.token_urlsafe(RANDOM_BYTES)
        return IssuedKey(workspace, self.host, self.incarnation, now, unique)

    def is_own(self, key: IssuedKey) -> bool:
        """Return whether this process issued ``key``."""
        return (key.host, key.incarnation) == (self.host, self.incarnation)

    def use(
        self, key: IssuedKey, digest: KeyDigest, body: BodyDigest, now: float
    ) -> KeyUseResult:
        """Use ``key`` for one request, once."""
        if not self.is_own(key):
            raise ForgedKey(f"{key.host} issued the key, not this process")
        if now - key.issued > self.window_s:
            return KeyUseResult.EXPIRED
        if digest in self.spent:
            _, held = self.spent[digest]
            return KeyUseResult.SPENT if held == body else KeyUseResult.REUSED
        self._forget(now)
        self.spent[digest] = (key.issued, body)
        return KeyUseResult.GRANTED

    def restore(self, digest: KeyDigest) -> None:
        """Let a key be used again whose request did not run."""
        self.spent.pop(digest, None)

    def _forget(self, now: float) -> None:
        if now - self.forgotten < self.window_s / 10:
            return
        self.forgotten = now
        oldest = now - self.window_s
        self.spent = {
            digest: row for digest, row in self.spent.items() if row[0] >= oldest
        }
