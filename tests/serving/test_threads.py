"""Tests of the number of threads that serve calls, in a burst and when idle."""

import contextlib
import threading

import pytest

from godwitladder.serving.threads import ElasticDispatcher
from tests.fleet import wait_until

IDLE_TIMEOUT_S = 0.05


class Task:
    """A call that runs until the test sets ``end``."""

    def __init__(self) -> None:
        self.started, self.end = threading.Event(), threading.Event()

    def service(self) -> None:
        self.started.set()
        assert self.end.wait(30)

    def cancel(self) -> None:
        self.end.set()


@pytest.fixture
def stack():
    with contextlib.ExitStack() as resources:
        yield resources


def make_dispatcher(stack, max_threads):
    dispatcher = ElasticDispatcher(max_threads, IDLE_TIMEOUT_S)
    stack.callback(dispatcher.shutdown)
    return dispatcher


def add_tasks(stack, dispatcher, count):
    tasks = [Task() for _ in range(count)]
    for task in tasks:
        stack.callback(task.end.set)
        dispatcher.add_task(task)
    return tasks


def count_started(tasks):
    return sum(task.started.is_set() for task in tasks)


def test_a_burst_gets_a_thread_for_each_call_and_none_is_left_when_idle(stack):
    """A hundred calls arrive at once on an idle host.

    Each starts while all others are still running, so that no caller waits for
    another call to finish. When all have finished, the threads end: an idle host
    has none.
    """
    dispatcher = make_dispatcher(stack, 200)
    tasks = add_tasks(stack, dispatcher, 100)
    wait_until(lambda: count_started(tasks) == 100, "all calls to start")
    assert len(dispatcher.threads) == 100
    for task in tasks:
        task.end.set()
    wait_until(lambda: not dispatcher.threads, "the threads to end")
    assert dispatcher.active_count == 0


def test_calls_beyond_the_maximum_are_queued_and_none_is_lost(stack):
    """More calls arrive than the maximum number of threads.

    The excess calls are queued until a thread is free and are then served in
    order. None is dropped, and no further thread is started.
    """
    dispatcher = make_dispatcher(stack, 3)
    tasks = add_tasks(stack, dispatcher, 8)
    wait_until(lambda: count_started(tasks) == 3, "the first calls")
    assert len(dispatcher.threads) == 3
    for task in tasks:
        task.end.set()
    wait_until(lambda: count_started(tasks) == 8, "all calls")
    assert len(dispatcher.threads) <= 3


def test_a_call_that_arrives_after_the_last_thread_ended_is_served(stack):
    """Calls arrive one at a time, with pauses in which all threads end.

    Each call is started: a thread that is about to end either takes the call or
    is no longer counted as idle.
    """
    dispatcher = make_dispatcher(stack, 4)
    for _ in range(5):
        (task,) = add_tasks(stack, dispatcher, 1)
        wait_until(task.started.is_set, "the call")
        task.end.set()
        wait_until(lambda: not dispatcher.threads, "the thread to end")


def test_if_no_thread_can_be_started_the_call_is_queued(stack):
    """The system can't create another thread while a call is served.

    The new call is queued for the running thread instead of being lost, and the
    number of threads stays correct, so that later calls can start new ones.
    """
    dispatcher = make_dispatcher(stack, 4)
    (first,) = add_tasks(stack, dispatcher, 1)
    wait_until(first.started.is_set, "the first call")
    start, dispatcher.start_new_thread = (
        dispatcher.start_new_thread,
        fail_to_start_thread,
    )
    (second,) = add_tasks(stack, dispatcher, 1)
    assert len(dispatcher.threads) == 1
    dispatcher.start_new_thread = start
    first.end.set()
    wait_until(second.started.is_set, "the second call")


def fail_to_start_thread(target, number):
    raise RuntimeError("can't start new thread")


def test_the_next_call_is_served_after_one_that_fails(stack):
    """A call fails with an unexpected exception; the next call is served."""
    dispatcher = make_dispatcher(stack, 1)

    class Failing(Task):
        def service(self):
            self.started.set()
            raise ValueError("a fault")

    failing = Failing()
    dispatcher.add_task(failing)
    wait_until(failing.started.is_set, "the failing call")
    (task,) = add_tasks(stack, dispatcher, 1)
    wait_until(task.started.is_set, "the next call")


class Refused:
    """Tasks that a dispatcher has refused."""

    def __init__(self) -> None:
        self.tasks = []

    def __call__(self, task) -> None:
        self.tasks.append(task)


def test_if_no_thread_can_be_started_the_call_is_refused_at_once(stack):
    """Guards against a call that waits for the end of another one for its refusal."""
    dispatcher = make_dispatcher(stack, 4)
    dispatcher.refuse = refused = Refused()
    (first,) = add_tasks(stack, dispatcher, 1)
    wait_until(first.started.is_set, "the first call")
    start = dispatcher.start_new_thread
    dispatcher.start_new_thread = fail_to_start_thread
    (second,) = add_tasks(stack, dispatcher, 1)
    assert refused.tasks == [second]
    dispatcher.start_new_thread = start
    (third,) = add_tasks(stack, dispatcher, 1)
    wait_until(third.started.is_set, "a later call")
    first.end.set()
    third.end.set()
    wait_until(lambda: not dispatcher.threads, "the threads to end")
    assert not second.started.is_set()


def test_without_any_thread_a_call_is_refused(stack):
    """Guards against a listener that fails because its first thread is denied."""
    dispatcher = make_dispatcher(stack, 4)
    dispatcher.refuse = refused = Refused()
    dispatcher.start_new_thread = fail_to_start_thread
    (task,) = add_tasks(stack, dispatcher, 1)
    assert refused.tasks == [task]
    assert (dispatcher.active_count, len(dispatcher.threads)) == (0, 0)


def test_a_call_added_by_a_thread_that_ends_its_own_is_queued(stack):
    """Guards against a refusal of a connection's next call, which its thread takes."""
    dispatcher = make_dispatcher(stack, 1)
    dispatcher.refuse = refused = Refused()
    following = Task()
    following.end.set()

    class Pipelined(Task):
        def service(self):
            dispatcher.start_new_thread = fail_to_start_thread
            dispatcher.max_threads = 4
            dispatcher.add_task(following)

    dispatcher.add_task(Pipelined())
    wait_until(following.started.is_set, "the next call")
    assert refused.tasks == []


def test_a_kept_thread_serves_while_no_other_can_be_started(stack):
    """Guards against a readiness probe that fails since idle threads have ended."""
    dispatcher = ElasticDispatcher(4, IDLE_TIMEOUT_S, kept=1)
    stack.callback(dispatcher.shutdown)
    dispatcher.start_kept()
    for task in add_tasks(stack, dispatcher, 3):
        task.end.set()
    wait_until(lambda: len(dispatcher.threads) == 1, "all but one thread to end")
    dispatcher.start_new_thread = fail_to_start_thread
    threading.Event().wait(3 * IDLE_TIMEOUT_S)
    for _ in range(2):
        (task,) = add_tasks(stack, dispatcher, 1)
        wait_until(task.started.is_set, "a call")
        task.end.set()
    dispatcher.release_kept()
    wait_until(lambda: not dispatcher.threads, "the last thread to end")
