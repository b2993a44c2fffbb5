"""Threads that serve calls: started as calls come, ended when idle.

A host of a large fleet serves a few calls at once and must bear a burst of
many. With a thread for each call that it could bear, hundreds of hosts would
hold tens of thousands of threads that do nothing.
"""

from typing import Any

from waitress.task import ThreadedTaskDispatcher

IDLE_S = 2.0
"""Waiting threads are woken in turn, so a short time lets the surplus end even
while calls keep coming."""


class ElasticDispatcher(ThreadedTaskDispatcher):
    """Runs tasks on as many threads as they need, up to a bound.

    Parameters
    ----------
    most : int
        Threads at once; further tasks wait for one to be free.
    idle_s : float
        Seconds without a task after which a thread ends.
    """

    def __init__(self, most: int, idle_s: float = IDLE_S) -> None:
        super().__init__()
        self.most = most
        self.idle_s = idle_s
        self.next_number = 0

    def add_task(self, task: Any) -> None:
        """Run ``task`` on a thread that waits, or on a new one."""
        with self.lock:
            self.queue.append(task)
            self.queue_cv.notify()
            waiting = len(self.threads) - self.active_count
            if len(self.queue) > waiting and len(self.threads) < self.most:
                self.start_one()

    def start_one(self) -> None:
        """Start one more thread; the lock is held."""
        number = self.next_number
        self.next_number += 1
        self.threads.add(number)
        self.active_count += 1
        try:
            self.start_new_thread(self.handler_thread, number)
        except RuntimeError:
            # The system has no thread to give. The task waits for one of those
            # that run; with none at all nobody would ever take it.
            self.end_one(number)
            if not self.threads:
                raise

    def end_one(self, number: int) -> None:
        """Forget a thread that ends; the lock is held."""
        self.active_count -= 1
        self.threads.discard(number)
        self.thread_exit_cv.notify()

    def handler_thread(self, thread_no: int) -> None:
        """Run tasks until none came for a while."""
        while True:
            with self.lock:
                task = self.next_task()
                if task is None:
                    self.end_one(thread_no)
                    return
            try:
                task.service()
            except Exception:
                self.logger.exception("Exception when servicing %r", task)

    def next_task(self) -> Any:
        """Return the next task; None if the thread is to end."""
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
