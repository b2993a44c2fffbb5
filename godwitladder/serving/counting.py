"""Counting of the calls that a host's server has not finished."""

import abc
import threading
from collections.abc import Callable, Iterable, Iterator, Mapping


class CountedAnswer:
    """A WSGI response that calls ``on_close`` when the server has finished with it.

    A graceful shutdown waits until no call is open. The count must therefore
    not fall when the response starts, but when the server has taken its last
    byte.
    """

    def __init__(self, body: Iterable[bytes], on_close: Callable[[], None]) -> None:
        self.body = body
        self.on_close = on_close

    def __iter__(self) -> Iterator[bytes]:
        return iter(self.body)

    def close(self) -> None:
        """Close the response; the server does so even if the connection broke."""
        try:
            close = getattr(self.body, "close", None)
            if close:
                close()
        finally:
            self.on_close()


class CountedApp(abc.ABC):
    """A WSGI application that counts its open calls.

    Attributes
    ----------
    open_calls : int
        Number of calls whose response the server has not yet taken completely.
    """

    def __init__(self) -> None:
        self.open_calls = 0
        self.lock = threading.Lock()

    def __call__(self, environ: Mapping, start_response) -> Iterable[bytes]:
        """Serve one request (WSGI)."""
        with self.lock:
            self.open_calls += 1
        try:
            body = self.answer(environ, start_response)
        except BaseException:
            # The server closes only a response that it received. Without this, a
            # call that fails here would block a graceful shutdown forever.
            self.close_call()
            raise
        return CountedAnswer(body, self.close_call)

    @abc.abstractmethod
    def answer(self, environ: Mapping, start_response) -> Iterable[bytes]:
        """Return the response to one request."""

    def close_call(self) -> None:
        """Decrement the number of open calls."""
        with self.lock:
            self.open_calls -= 1
