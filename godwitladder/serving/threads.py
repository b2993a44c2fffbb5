"""Thread pool for serving calls that grows on demand and shrinks when idle.

A host in a large fleet usually serves a few calls at once, but must handle
bursts of many. With one permanent thread per call of such a burst, hundreds of
hosts would hold tens of thousands of idle threads.

Where the system denies a thread, the task is refused at once. It would else wait for
another call to end, while its caller could have asked another host.
"""

import threading
from collections.abc import Callable
from typing import Any

from waitress.task import ThreadedTaskDispatcher

from godwitladder.logs import component_logger
from godwitladder.process.threads import ThreadDenied, start_call_thread

log = component_logger("listener")

IDLE_TIMEOUT_S = 2.0
"""Idle threads take tasks in turn, so the timeout must be short for surplus
threads to end while calls keep arriving."""


class ElasticDispatcher(ThreadedTaskDispatcher):
    """Runs tasks on as many threads as they need, up to a maximum.

    Parameters
    ----------
    max_threads : int
        Maximum number of threads. Further tasks are queued until one is free.
    idle_s : float
        Seconds without a task after which a thread ends.
    kept : int
        Number of threads that don't end when idle.

    Attributes
    ----------
    refuse : callable or None
        Called with a task for which no thread can be started, in any thread and with
        the lock held; None to queue it for a running thread.
    """

    def __init__(
        self, max_threads: int, idle_s: float = IDLE_TIMEOUT_S, kept: int = 0
    ) -> None:
        super().__init__()
        self.max_threads = max_threads
        self.idle_s = idle_s
        self.kept = kept
        self.refuse: Callable[[Any], None] | None = None
        self.next_number = 0
        self.local = threading.local()

    def start_kept(self) -> None:
        """Start the threads that don't end when idle, as far as the system can."""
        with self.lock:
            while len(self.threads) < self.kept:
                try:
                    self.start_worker()
                except ThreadDenied as error:
                    # The next task tries again.
                    log.warning(
                        "A listener has no thread yet", extra={"error": str(error)}
                    )
                    return

    def release_kept(self) -> None:
        """Let all threads end when idle."""
        with self.lock:
            self.kept = 0
            self.queue_cv.notify_all()

    def add_task(self, task: Any) -> None:
        """Run ``task`` on an idle thread or a new one, or queue it."""
        with self.lock:
            self.queue.append(task)
            self.queue_cv.notify()
            waiting = len(self.threads) - self.active_count
            if len(self.queue) <= waiting or len(self.threads) >= self.max_threads:
                return
            try:
                self.start_worker()
            except (ThreadDenied, RuntimeError):
                self.take_denial()

    def take_denial(self) -> None:
        """Refuse the newest task if no thread will take it soon; needs the lock."""
        ends_soon = getattr(self.local, "is_worker", False)
        if self.threads and (ends_soon or self.refuse is None):
            return
        if self.refuse is None:
            raise ThreadDenied("no thread runs that could take the task")
        self.refuse(self.queue.pop())

    def start_worker(self) -> None:
        """Start one more thread; the caller must hold the lock.

        Raises
        ------
        ThreadDenied
            The system can't start one now.
        """
        number = self.next_number
        self.next_number += 1
        self.threads.add(number)
        self.active_count += 1
        try:
            self.start_new_thread(self.handler_thread, number)
        except BaseException:
            self.end_worker(number)
            raise

    def start_new_thread(self, target: Callable[[int], None], thread_no: int) -> None:
        """Start a thread; called by this class and by waitress."""
        start_call_thread(target, f"waitress-{thread_no}", (thread_no,))

    def end_worker(self, number: int) -> None:
        """Remove a thread that ends; the caller must hold the lock."""
        self.active_count -= 1
        self.threads.discard(number)
        self.thread_exit_cv.notify()

    def handler_thread(self, thread_no: int) -> None:
        """Run tasks until the idle timeout passes without one."""
        self.local.is_worker = True
        while True:
            with self.lock:
                task = self.next_task()
                if task is None:
                    self.end_worker(thread_no)
                    return
            try:
                task.service()
            except Exception:
                self.logger.exception("Exception when servicing %r", task)

    def next_task(self) -> Any:
        """Return the next task, or None if the thread should end."""
        while self.stop_count == 0:
            if self.queue:
                return self.queue.popleft()
            self.active_count -= 1
            is_kept = len(self.threads) <= self.kept
            woken = self.queue_cv.wait(None if is_kept else self.idle_s)
            self.active_count += 1
            if not woken and not self.queue and len(self.threads) > self.kept:
                return None
        self.stop_count -= 1
        return None
