"""Thread pool for serving calls that grows on demand and shrinks when idle.

A host in a large fleet usually serves a few calls at once, but must handle
bursts of many. With one permanent thread per call of such a burst, hundreds of
hosts would hold tens of thousands of idle threads.
"""

from typing import Any

from waitress.task import ThreadedTaskDispatcher

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
    """

    def __init__(self, max_threads: int, idle_s: float = IDLE_TIMEOUT_S) -> None:
        super().__init__()
        self.max_threads = max_threads
        self.idle_s = idle_s
        self.next_number = 0

    def add_task(self, task: Any) -> None:
        """Run ``task`` on an idle thread or a new one, or queue it."""
        with self.lock:
            self.queue.append(task)
            self.queue_cv.notify()
            waiting = len(self.threads) - self.active_count
            if len(self.queue) > waiting and len(self.threads) < self.max_threads:
                self.start_worker()

    def start_worker(self) -> None:
        """Start one more thread; the caller must hold the lock."""
        number = self.next_number
        self.next_number += 1
        self.threads.add(number)
        self.active_count += 1
        try:
            self.start_new_thread(self.handler_thread, number)
        except RuntimeError:
            # The system can't create a thread. The task stays queued for a running
            # thread. If none is running, it would never be served.
            self.end_worker(number)
            if not self.threads:
                raise

    def end_worker(self, number: int) -> None:
        """Remove a thread that ends; the caller must hold the lock."""
        self.active_count -= 1
        self.threads.discard(number)
        self.thread_exit_cv.notify()

    def handler_thread(self, thread_no: int) -> None:
        """Run tasks until the idle timeout passes without one."""
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
            woken = self.queue_cv.wait(self.idle_s)
            self.active_count += 1
            if not woken and not self.queue:
                return None
        self.stop_count -= 1
        return None
