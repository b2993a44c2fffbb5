"""Real hosts whose targets answer uploads early, in part, and reset the connection."""

import contextlib
import http.client
from concurrent.futures import ThreadPoolExecutor

import pytest

from soak.fleet import Fleet
from soak.proxy import CutMode
from tests.fleet import wait_until

CONVERGED_S = 30.0
TIMEOUT_S = 10.0
PATHS = ("/charge/x", "/lookup/x", "/stream/x", "/resume/x")
SIZES = (1_000, 300_000, 1_000_000)
REPEATS = 2
CHUNK_BYTES = 10_000
SENDERS = 4


def upload(host, path, size, in_chunks, attempt):
    """Return the status of an upload's answer and its body; None if it broke."""
    headers = {
        "Host": "shop.example",
        "Authorization": "Bearer k1",
        "Godwitladder-Attempt-Id": attempt,
    }
    body = b"u" * size
    if in_chunks:
        starts = range(0, size, CHUNK_BYTES)
        body = [body[start : start + CHUNK_BYTES] for start in starts]
    connection = http.client.HTTPConnection(
        "127.0.0.1", host.ports[0], timeout=TIMEOUT_S
    )
    with contextlib.closing(connection):
        connection.request("POST", path, body, headers, encode_chunked=in_chunks)
        answer = connection.getresponse()
        try:
            return answer.status, answer.read()
        except http.client.IncompleteRead:
            return answer.status, None


def upload_all(host, calls):
    """Return the results of all uploads, several at a time."""

    def send(row):
        number, (path, size, in_chunks) = row
        try:
            result = upload(host, path, size, in_chunks, f"{host.name}{number:x}")
        except (OSError, http.client.HTTPException):
            result = 0, None
        return path, size, in_chunks, *result

    with ThreadPoolExecutor(SENDERS) as senders:
        return list(senders.map(send, enumerate(calls)))


def make_fleet(stack, folder):
    fleet = Fleet(stack, folder, hosts=2, targets=3, has_own_paths=True)
    assert fleet.wait_until_converged(CONVERGED_S)
    paths = [path for host in fleet.hosts for path in host.paths.values()]
    for proxy in (*paths, *(target.proxy for target in fleet.targets)):
        proxy.passes_resets = True
    return fleet


@pytest.mark.parametrize("through_peer", [False, True], ids=["direct", "through_peer"])
@pytest.mark.parametrize("framed", [False, True], ids=["no_length", "framed"])
def test_a_part_of_an_answer_to_an_upload_is_told_as_no_whole_one(
    tmp_path, framed, through_peer
):
    """Guards against a part of an answer that a caller takes for all of it."""
    with contextlib.ExitStack() as stack:
        fleet = make_fleet(stack, tmp_path)
        host = fleet.hosts[0]
        if through_peer:
            host.cut_paths(CutMode.RESET)
            wait_until(
                lambda: upload(host, PATHS[0], 10, False, "first")[0] == 200, "a tunnel"
            )
        for target in fleet.targets:
            target.knobs.early = True
            target.knobs.framed = framed
            target.knobs.resets_after = 3
            target.knobs.pause_s = 0.0
        calls = [
            (path, size, in_chunks)
            for path in PATHS
            for size in SIZES
            for in_chunks in (False, True)
            for _ in range(REPEATS)
        ]
        results = upload_all(host, calls)
    complete = [row for row in results if row[3] == 200 and row[4] is not None]
    assert len(results) == len(calls)
    assert not complete
