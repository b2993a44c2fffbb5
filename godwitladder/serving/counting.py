"""Counts the calls that a host's server is not done with."""

import abc
import threading
from collections.abc import Callable, Iterable, Iterator, Mapping


class CountedAnswer:
    """An answer that says when the server is done with it.

    The count of open calls is what a planned stop waits for: it must fall
    only after the last byte was handed to the server, not when the answer
    starts.
    """

    def __init__(self, body: Iterable[bytes], done: Callable[[], None]) -> None:
        self.body = body
        self.done = done

    def __iter__(self) -> Iterator[bytes]:
        return iter(self.body)

    def close(self) -> None:
        """Called by the server at the end, also after a broken connection."""
        try:
            close = getattr(self.body, "close", None)
            if close:
                close()
        finally:
            self.done()


class CountedApp(abc.ABC):
    """A WSGI application that knows how many of its calls are open.

    Attributes
    ----------
    open_calls : int
        Calls whose answer the server has not handed over to its last byte.
    """

    def __init__(self) -> None:
        self.open_calls = 0
        self.lock = threading.Lock()

    def __call__(self, environ: Mapping, start_response) -> Iterable[bytes]:
        """Answer one request (WSGI)."""
        with self.lock:
            self.open_calls += 1
        try:
            body = self.answer(environ, start_response)
        except BaseException:
            # The server closes only an answer that it got: without this, one
            # call that failed here would keep a planned stop waiting for ever.
            self.close_call()
            raise
        return CountedAnswer(body, self.close_call)

    @abc.abstractmethod
    def answer(self, environ: Mapping, start_response) -> Iterable[bytes]:
        """Return the answer to one request."""

    def close_call(self) -> None:
        """Count a call that is done."""
        with self.lock:
            self.open_calls -= 1
