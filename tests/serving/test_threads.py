"""Threads that serve calls: how many there are in a burst, and at rest."""

import contextlib
import threading

import pytest

from godwitladder.serving.threads import ElasticDispatcher
from tests.fleet import wait_until

IDLE_S = 0.05


class Task:
    """A call that lasts until the test ends it."""

    def __init__(self) -> None:
        self.begun, self.end = threading.Event(), threading.Event()

    def service(self) -> None:
        self.begun.set()
        assert self.end.wait(30)

    def cancel(self) -> None:
        self.end.set()


@pytest.fixture
def stack():
    with contextlib.ExitStack() as owned:
        yield owned


def make_dispatcher(stack, most):
    dispatcher = ElasticDispatcher(most, IDLE_S)
    stack.callback(dispatcher.shutdown)
    return dispatcher


def add_tasks(stack, dispatcher, count):
    tasks = [Task() for _ in range(count)]
    for task in tasks:
        stack.callback(task.end.set)
        dispatcher.add_task(task)
    return tasks


def begun(tasks):
    return sum(task.begun.is_set() for task in tasks)


def test_a_burst_gets_a_thread_for_each_call_and_none_is_left_at_rest(stack):
    """A hundred calls come at once to a host that serves none.

    Each is begun while all others still run, so that no caller waits for
    another one's answer. When all are done the threads end: a host at rest
    holds none.
    """
    dispatcher = make_dispatcher(stack, 200)
    tasks = add_tasks(stack, dispatcher, 100)
    wait_until(lambda: begun(tasks) == 100, "all calls to begin")
    assert len(dispatcher.threads) == 100
    for task in tasks:
        task.end.set()
    wait_until(lambda: not dispatcher.threads, "the threads to end")
    assert dispatcher.active_count == 0


def test_calls_beyond_the_bound_wait_and_lose_nothing(stack):
    """More calls come than the host may have threads.

    Those beyond the bound wait until a thread is free, and are then served
    in their order; none is dropped and no further thread is started.
    """
    dispatcher = make_dispatcher(stack, 3)
    tasks = add_tasks(stack, dispatcher, 8)
    wait_until(lambda: begun(tasks) == 3, "the first calls")
    assert len(dispatcher.threads) == 3
    for task in tasks:
        task.end.set()
    wait_until(lambda: begun(tasks) == 8, "all calls")
    assert len(dispatcher.threads) <= 3


def test_a_call_comes_just_when_the_last_thread_has_ended(stack):
    """Calls come now and then, with pauses in which every thread ends.

    Each of them is begun: a thread that is about to end either takes the
    call, or is no longer counted as one that could.
    """
    dispatcher = make_dispatcher(stack, 4)
    for _ in range(5):
        (task,) = add_tasks(stack, dispatcher, 1)
        wait_until(task.begun.is_set, "the call")
        task.end.set()
        wait_until(lambda: not dispatcher.threads, "the thread to end")


def test_a_system_without_threads_keeps_the_call_for_one_that_runs(stack):
    """The system refuses one more thread while another call is served.

    The call waits for that thread instead of being lost, and the count of
    threads stays right, so that later calls may start theirs.
    """
    dispatcher = make_dispatcher(stack, 4)
    (first,) = add_tasks(stack, dispatcher, 1)
    wait_until(first.begun.is_set, "the first call")
    start, dispatcher.start_new_thread = dispatcher.start_new_thread, no_thread
    (second,) = add_tasks(stack, dispatcher, 1)
    assert len(dispatcher.threads) == 1
    dispatcher.start_new_thread = start
    first.end.set()
    wait_until(second.begun.is_set, "the second call")


def no_thread(target, number):
    raise RuntimeError("can't start new thread")


def test_a_call_that_fails_takes_no_thread_with_it(stack):
    """A call ends by an error nobody foresaw; the next one is served."""
    dispatcher = make_dispatcher(stack, 1)

    class Failing(Task):
        def service(self):
            self.begun.set()
            raise ValueError("a fault")

    failing = Failing()
    dispatcher.add_task(failing)
    wait_until(failing.begun.is_set, "the failing call")
    (task,) = add_tasks(stack, dispatcher, 1)
    wait_until(task.begun.is_set, "the next call")
