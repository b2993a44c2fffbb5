"""Signed request ids, which name the target and the stream of a request.

Any host can resume a stream by such an id, with no store: the id says where
the stream is, and the signature that a host of the system said so.
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
    """The id was not signed by a host of this system."""


@dataclass(frozen=True)
class RequestLocator:
    """What a signed request id tells."""

    workspace: WorkspaceName
    target: TargetName
    stream: StreamId


def sign_request_id(secret: str, name: RequestLocator) -> str:
    """Return the id of ``name``, safe in a URL."""
    text = json.dumps([name.workspace, name.target, name.stream]).encode()
    signature = _sign(secret, text)
    return base64.urlsafe_b64encode(signature + text).decode().rstrip("=")


def read_request_id(secret: str, identity: str) -> RequestLocator:
    """Return what ``identity`` names.

    Raises
    ------
    ForgedId
        The id is malformed or its signature is not ours.
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
