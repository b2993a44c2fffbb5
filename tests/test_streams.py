"""Each caller gets exactly its own stream, complete and in order."""

import json
import signal

from tests.fleet import CALLER_KEY


def test_foreign_and_repeated_chunks_are_dropped(fleet):
    """Guards against chunks that are repeated or belong to another stream.

    The engine sends each chunk twice, preceded by one of another stream, as a
    proxy that mixes up connections would. The caller must get each chunk of its
    own stream once and in order.
    """
    engine = fleet.add_engine("engine-a1", decode_tps=400)
    host = fleet.add_host("host-a1", "a")
    fleet.wait_ready()
    fleet.configure()
    fleet.set_knobs(engine, scramble=True)
    answer = fleet.chat(host, "A letter", stream=True)
    numbers = [line for line in answer.data.split(b"\n") if line.startswith(b"id: ")]
    assert numbers == [b"id: %d" % index for index in range(11)]
    assert b"data: {}\n" not in answer.data


def test_a_stream_whose_host_dies_is_resumed_at_another(fleet):
    """A caller can resume its stream at any other host.

    The host is killed after it has forwarded the first events. The caller sends
    the request id from the response headers and the number of its last event to
    another host, which continues the same stream of the engine.
    """
    engine = fleet.add_engine("engine-a1", decode_tps=100)
    first = fleet.add_host("host-a1", "a")
    second = fleet.add_host("host-a2", "a")
    fleet.wait_ready()
    fleet.configure()
    raw = {"model": "letters", "messages": ["A letter"], "stream": True}
    answer = fleet.http.request(
        "POST",
        f"http://{first.callers}/v1/chat/completions",
        body=json.dumps({**raw, "max_tokens": 800}),
        headers={"Authorization": f"Bearer {CALLER_KEY}"},
        preload_content=False,
        timeout=60,
    )
    received = b""
    while received.count(b"\nid: ") < 5:
        received += answer.read1(4096)
    first.send(signal.SIGKILL)
    received = received[: received.rindex(b"\n\n")]
    last = received.rpartition(b"\nid: ")[2].partition(b"\n")[0].decode()
    rest = fleet.http.request(
        "GET",
        f"http://{second.callers}/v1/requests/{answer.headers['Request-Id']}",
        headers={"Authorization": f"Bearer {CALLER_KEY}", "Last-Event-ID": last},
        timeout=60,
    )
    numbers = [
        line for line in (received + rest.data).split(b"\n") if line.startswith(b"id: ")
    ]
    assert numbers == [b"id: %d" % index for index in range(101)]
    assert rest.data.rstrip().endswith(b"data: [DONE]")
    assert [row["runs"] for row in fleet.run_records(engine)] == [1]
