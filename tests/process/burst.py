"""Many calls at once, each on a connection of its own, from one thread."""

import selectors
import socket
import time
from collections import Counter

READ_BYTES = 65_536
RETRY_AFTER = b"retry-after:"


class Burst:
    """Calls that are sent at once to one host.

    Parameters
    ----------
    address : tuple of str and int
        The host's address for callers.
    count : int
        Number of calls.
    path : str
        Path of the calls.

    Attributes
    ----------
    answers : list of bytes
        All that was read on each connection that was closed or answered.
    """

    def __init__(self, address, count, path="/lookup/x", name="b"):
        self.answers = []
        self.selector = selectors.DefaultSelector()
        for number in range(count):
            sock = socket.create_connection(address, timeout=5)
            sock.sendall(request_bytes(path, f"{name}-{number}"))
            sock.setblocking(False)
            self.selector.register(sock, selectors.EVENT_READ, bytearray())

    def wait(self, timeout_s):
        """Read until all calls have ended, and return the numbers of each status.

        Calls without an answer are counted under "closed" and "open".
        """
        until = time.monotonic() + timeout_s
        while self.selector.get_map() and time.monotonic() < until:
            for key, _ in self.selector.select(0.1):
                self.read(key)
        counts = Counter(status_of(answer) for answer in self.answers)
        counts["open"] = len(self.selector.get_map())
        self.close()
        return counts

    def read(self, key):
        try:
            data = key.fileobj.recv(READ_BYTES)
        except OSError:
            data = b""
        key.data.extend(data)
        if data and not is_whole(bytes(key.data)):
            return
        self.selector.unregister(key.fileobj)
        key.fileobj.close()
        self.answers.append(bytes(key.data))

    def close(self):
        for key in list(self.selector.get_map().values()):
            self.selector.unregister(key.fileobj)
            key.fileobj.close()


def request_bytes(path, attempt):
    return (
        f"POST {path} HTTP/1.1\r\nHost: shop.example\r\n"
        f"Godwitladder-Attempt-Id: {attempt}\r\nGodwitladder-Deadline-Ms: 5000\r\n"
        "Authorization: Bearer left-key\r\nContent-Length: 0\r\n\r\n"
    ).encode()


def is_whole(answer):
    """Return whether an answer with a stated length is complete."""
    head, separator, body = answer.partition(b"\r\n\r\n")
    for line in head.lower().splitlines():
        name, _, value = line.partition(b":")
        if separator and name == b"content-length":
            return len(body) >= int(value)
    return False


def status_of(answer):
    """Return the status of an answer; "closed" if there is none."""
    words = answer.split(b" ", 2)
    return int(words[1]) if len(words) > 2 else "closed"
