"""Tests that invalid requests are refused without affecting other callers."""

import contextlib
import http.client
import json
import socket
import ssl
import threading

import pytest
import trustme
import urllib3

from godwitladder.serving import listener
from godwitladder.serving.listener import make_listener
from godwitladder.settings import LimitSettings, TlsSettings
from godwitladder.standins.ports import free_ports
from godwitladder.standins.service import start_service
from tests.fleet import CALLER_KEY, wait_until
from tests.serving.app import App

LIMITS = LimitSettings(
    threads=4, connections=20, body_bytes=5000, header_bytes=4000, key_bytes=40
)
KEY = f"Authorization: Bearer {CALLER_KEY}\r\n".encode()
CALL = b"POST /v1/services/lookup HTTP/1.1\r\nHost: h\r\n"
CHAT = b"POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n"


@pytest.fixture
def stack():
    with contextlib.ExitStack() as resources:
        yield resources


def serve(stack, app, tls=None) -> int:
    """Serve ``app`` on a free port and return the port."""
    port = free_ports(1)[0]
    server = make_listener(app, f"127.0.0.1:{port}", LIMITS, LIMITS.threads, tls)
    stack.callback(server.close)
    stack.callback(server.task_dispatcher.shutdown)
    threading.Thread(target=server.run, daemon=True).start()
    return port


def serve_calls(stack, tls=None):
    service = start_service()
    stack.callback(service.server_close)
    stack.callback(service.shutdown)
    app = App(stack, service=service.address, limits=LIMITS)
    return serve(stack, app.app, tls), service.standin


def connect(stack, port) -> socket.socket:
    sock = socket.create_connection(("127.0.0.1", port), timeout=10)
    return stack.enter_context(sock)


def send_request(stack, port, request: bytes) -> http.client.HTTPResponse:
    """Send raw bytes on a new connection and return the response."""
    sock = connect(stack, port)
    sock.sendall(request)
    return read_answer(sock)


def read_answer(sock: socket.socket) -> http.client.HTTPResponse:
    answer = http.client.HTTPResponse(sock)
    answer.begin()
    return answer


def make_request(head: bytes, body: bytes) -> bytes:
    return head + KEY + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


def chat(**members) -> bytes:
    return json.dumps({"model": "letters", "messages": [], **members}).encode()


REFUSED = {
    "no key": (CALL + b"Content-Length: 1\r\n\r\nx", 401),
    "wrong key": (
        CALL + b"Authorization: Bearer no\r\nContent-Length: 1\r\n\r\nx",
        401,
    ),
    "not basic": (CALL + b"Authorization: Basic x\r\nContent-Length: 1\r\n\r\nx", 401),
    "latin key": (
        CALL + b"Authorization: Bearer \xe9\xff\r\nContent-Length: 0\r\n\r\n",
        401,
    ),
    "unknown path": (b"GET /v2 HTTP/1.1\r\nHost: h\r\n" + KEY + b"\r\n", 404),
    "unknown service": (make_request(CALL.replace(b"lookup", b"nothing"), b"x"), 404),
    "model as plain": (make_request(CALL.replace(b"lookup", b"letters"), b"x"), 404),
    "forged id": (
        b"GET /v1/requests/AAAA HTTP/1.1\r\nHost: h\r\n" + KEY + b"\r\n",
        404,
    ),
    "odd id": (b"GET /v1/requests/%E9%00 HTTP/1.1\r\nHost: h\r\n" + KEY + b"\r\n", 404),
    "length garbage": (CALL + KEY + b"Content-Length: x\r\n\r\n", 400),
    "length negative": (CALL + KEY + b"Content-Length: -5\r\n\r\n", 400),
    "two lengths": (
        CALL + KEY + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nx",
        400,
    ),
    "chunk garbage": (CALL + KEY + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nx", 400),
    "odd encoding": (CALL + KEY + b"Transfer-Encoding: gzip\r\n\r\n", 501),
    "too large": (CALL + KEY + b"Content-Length: 5001\r\n\r\n", 413),
    "chunks too large": (
        CALL + KEY + b"Transfer-Encoding: chunked\r\n\r\n1770\r\n" + b"x" * 6000,
        413,
    ),
    "head too large": (CALL + b"X: " + b"x" * 5000 + b"\r\n\r\n", 431),
    "long key": (
        make_request(CALL + b"Idempotency-Key: " + b"k" * 41 + b"\r\n", b"x"),
        400,
    ),
    "empty key": (make_request(CALL + b"Idempotency-Key:\r\n", b"x"), 400),
    "odd timeout": (make_request(CALL + b"Request-Timeout: soon\r\n", b"x"), 400),
    "no timeout": (make_request(CALL + b"Request-Timeout: nan\r\n", b"x"), 400),
    "odd rank": (make_request(CALL + b"Request-Tier-Rank: \xb2\r\n", b"x"), 400),
    "no body": (make_request(CHAT, b""), 400),
    "no JSON": (make_request(CHAT, b"{"), 400),
    "no UTF-8": (make_request(CHAT, b'{"messages": "\xff\xfe"}'), 400),
    "deep JSON": (make_request(CHAT, b"[" * 4900), 400),
    "NaN": (make_request(CHAT, chat(temperature=float("nan"))), 400),
    "long number": (
        make_request(CHAT, b'{"messages": [], "n": %b}' % (b"9" * 4800)),
        400,
    ),
    "no messages": (make_request(CHAT, b"{}"), 400),
    "odd max_tokens": (make_request(CHAT, chat(max_tokens="many")), 400),
    "boolean max_tokens": (make_request(CHAT, chat(max_tokens=True)), 400),
    "odd model": (make_request(CHAT, chat(model=["letters"])), 404),
}


@pytest.fixture(scope="module")
def served_calls():
    with contextlib.ExitStack() as resources:
        yield serve_calls(resources)


@pytest.mark.parametrize("name", REFUSED)
def test_an_invalid_request_is_refused_and_affects_no_others(stack, served_calls, name):
    """An invalid request is refused as not run and does not affect others.

    Each refusal is a problem document with this outcome, whether the application
    or waitress detected the problem. A valid call on another connection succeeds
    right after, and is the only one that reached the service.
    """
    port, service = served_calls
    request, status = REFUSED[name]
    before = len(service.runs)
    answer = send_request(stack, port, request)
    assert answer.status == status
    assert answer.headers["Content-Type"] == "application/problem+json"
    assert json.loads(answer.read())["outcome"] == "not_run"
    assert send_request(stack, port, make_request(CALL, b"sound")).status == 200
    assert len(service.runs) == before + 1


def test_slow_and_truncated_bodies_occupy_no_thread(stack):
    """Callers that send half a body, or none, occupy no thread.

    There are more such callers than threads. The server's loop buffers each
    request until its body is complete, so a valid call is served immediately.
    """
    port, service = serve_calls(stack)
    for _ in range(LIMITS.threads + 6):
        connect(stack, port).sendall(CALL + KEY + b"Content-Length: 50\r\n\r\nhalf")
        connect(stack, port).close()
    connect(stack, port).sendall(b"POST /v1/serv")
    assert send_request(stack, port, make_request(CALL, b"x")).status == 200
    assert len(service.runs) == 1


def test_too_many_connections_get_a_response(stack):
    """A caller beyond the connection limit gets status 429.

    Otherwise the connection would stay in the system's accept queue, where the
    caller sees it as open but never gets a response.
    """
    port, _ = serve_calls(stack)
    open_connections = [connect(stack, port) for _ in range(LIMITS.connections)]
    assert read_answer(connect(stack, port)).status == 429
    for sock in open_connections:
        sock.close()
    wait_until(
        lambda: send_request(stack, port, make_request(CALL, b"x")).status == 200,
        "a free connection",
    )


def test_a_response_to_a_caller_that_reads_nothing_is_not_buffered(stack):
    """A response that the caller does not read is not buffered without limit.

    The application yields far more blocks than the buffers hold. The server takes
    a few more than the socket's buffers can hold, and then blocks the application.
    """
    blocks = []

    def app(environ, start_response):
        start_response("200 OK", [("Content-Type", "text/plain")])
        while len(blocks) < 1000:
            blocks.append(1)
            yield b"x" * 65_536

    port = serve(stack, app)
    sock = connect(stack, port)
    sock.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    wait_until(lambda: blocks, "the first block")
    assert settled_length(blocks) < 200
    sock.close()


def test_a_caller_that_never_reads_is_disconnected(stack, monkeypatch):
    """A caller that stops reading can't occupy a thread and a slot forever.

    Its connection stays open, because the caller's system still answers for it.
    The kernel closes a connection whose data stays unacknowledged for the
    timeout, and the server then closes the response.
    """
    monkeypatch.setattr(listener, "TCP_USER_TIMEOUT_S", 1)
    closed = threading.Event()

    def app(environ, start_response):
        start_response("200 OK", [("Content-Type", "text/plain")])
        try:
            while True:
                yield b"x" * 65_536
        finally:
            closed.set()

    sock = connect(stack, serve(stack, app))
    sock.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    assert closed.wait(30)


def settled_length(blocks: list) -> int:
    """Return the length of ``blocks`` once it has stopped growing."""
    settled = 0
    while len(blocks) != settled:
        settled = len(blocks)
        threading.Event().wait(0.2)
    return settled


def test_tls_serves_many_callers_and_refuses_plaintext(stack, tmp_path):
    """TLS callers are served; a plaintext caller is not and affects no others."""
    authority = trustme.CA()
    issued = authority.issue_cert("127.0.0.1")
    certificate, key = tmp_path / "host.pem", tmp_path / "host.key"
    for blob in issued.cert_chain_pems:
        blob.write_to_path(certificate, append=True)
    issued.private_key_pem.write_to_path(key)
    port, service = serve_calls(stack, TlsSettings(str(certificate), str(key)))
    plaintext = connect(stack, port)
    plaintext.sendall(make_request(CALL, b"x"))
    connect(stack, port)
    context = ssl.create_default_context()
    authority.configure_trust(context)
    pool = stack.enter_context(
        urllib3.PoolManager(ssl_context=context, retries=False, maxsize=4)
    )
    bodies = [b"%d" % number * 900 for number in range(5)]
    for body in bodies:
        answer = pool.request(
            "POST",
            f"https://127.0.0.1:{port}/v1/services/lookup",
            body=body,
            headers={"Authorization": f"Bearer {CALLER_KEY}"},
            timeout=10,
        )
        assert answer.status == 200
    assert len(service.runs) == len(bodies)
    with contextlib.suppress(ConnectionResetError):
        assert b"HTTP/1.1 200" not in plaintext.recv(1000)


def test_tls_sends_a_response_larger_than_any_buffer(stack, tmp_path):
    """A long response over TLS is complete although the caller reads it late."""
    authority = trustme.CA()
    issued = authority.issue_cert("127.0.0.1")
    path = tmp_path / "both.pem"
    issued.private_key_and_cert_chain_pem.write_to_path(path)
    block, blocks = bytes(range(250)) * 200, []

    def app(environ, start_response):
        start_response("200 OK", [("Content-Type", "text/plain")])
        while len(blocks) < 400:
            blocks.append(1)
            yield block

    port = serve(stack, app, TlsSettings(str(path), str(path)))
    context = ssl.create_default_context()
    authority.configure_trust(context)
    pool = stack.enter_context(urllib3.PoolManager(ssl_context=context, retries=False))
    answer = pool.request(
        "GET", f"https://127.0.0.1:{port}/", timeout=10, preload_content=False
    )
    assert 0 < settled_length(blocks) < 400
    assert answer.read() == block * 400


def test_buffers_are_not_written_to_disk():
    """The server buffers in memory only, because hosts have no disk."""
    limits = LimitSettings(threads=4)
    address = f"127.0.0.1:{free_ports(1)[0]}"
    server = make_listener(lambda *_: [], address, limits, limits.threads)
    with contextlib.closing(server):
        assert server.adj.inbuf_overflow > limits.body_bytes
        assert server.adj.outbuf_overflow > listener.OUTPUT_WATERMARK_BYTES
    server.task_dispatcher.shutdown()
