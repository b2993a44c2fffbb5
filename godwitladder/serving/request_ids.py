"""Signed request ids, which contain the target and the stream of a request.

Any host can resume a stream by its id without shared storage. The id tells
where the stream is, and its signature proves that a host of this system
created it.
"""

import base64
import hashlib
import hmac
import json
from dataclasses import dataclass

from godwitladder.findings import GodwitladderError
from godwitladder.ids import StreamId, TargetName, WorkspaceName

SIGNATURE_BYTES = 16


class ForgedId(GodwitladderError):
    """The request id was not signed by a host of this system."""


@dataclass(frozen=True)
class RequestLocator:
    """The content of a signed request id."""

    workspace: WorkspaceName
    target: TargetName
    stream: StreamId


def sign_request_id(secret: str, name: RequestLocator) -> str:
    """Return the signed, URL-safe request id that contains ``name``."""
    text = json.dumps([name.workspace, name.target, name.stream]).encode()
    signature = _sign(secret, text)
    return base64.urlsafe_b64encode(signature + text).decode().rstrip("=")


def read_request_id(secret: str, identity: str) -> RequestLocator:
    """Return the content of the request id ``identity``.

    Raises
    ------
    ForgedId
        The id is malformed, or its signature does not match.
    """
    try:
        data = base64.urlsafe_b64decode(identity + "=" * (-len(identity) % 4))
    except ValueError as error:
        raise ForgedId(f"{identity!r} is no request id") from error
    signature, text = data[:SIGNATURE_BYTES], data[SIGNATURE_BYTES:]
    if not hmac.compare_digest(signature, _sign(secret, text)):
        raise ForgedId(f"{identity!r} is no request id of this system")
    return RequestLocator(*json.loads(text))


def _sign(secret: str, text: bytes) -> bytes:
    return hmac.digest(secret.encode(), text, hashlib.sha256)[:SIGNATURE_BYTES]
