"""Shared calls: concurrent threads that need the same read of a store."""

import threading

import pytest

from almondstack.core.shared_call import CallNotSharedError, SharedCall

_THREADS = 24
_TIMEOUT_S = 10.0


class _SlowCall:
    """Counts calls; each call blocks until ``released`` is set."""

    def __init__(self, error=None):
        self.count = 0
        self.started = threading.Event()
        self.released = threading.Event()
        self._error = error

    def __call__(self):
        self.count += 1
        self.started.set()
        self.released.wait(_TIMEOUT_S)
        if self._error is not None:
            raise self._error


def _run(shared, outcomes):
    try:
        shared.run(_TIMEOUT_S)
    except ValueError as error:
        outcomes.append(error)
    else:
        outcomes.append(None)


def _run_in_parallel(call):
    """Start one call, request it in many threads meanwhile and return each thread's error."""
    shared = SharedCall(call)
    outcomes = []
    threads = [threading.Thread(target=_run, args=(shared, outcomes)) for _ in range(_THREADS + 1)]
    threads[0].start()
    call.started.wait(_TIMEOUT_S)
    for thread in threads[1:]:
        thread.start()
    # All wait, since the running call started before their requests.
    assert outcomes == []
    call.released.set()
    for thread in threads:
        thread.join(_TIMEOUT_S)
    return outcomes


def test_lagging_two_calls_serve_any_number_of_threads():
    call = _SlowCall()
    assert _run_in_parallel(call) == [None] * (_THREADS + 1)
    # A thread that started late may have needed a third call.
    assert 2 <= call.count <= 3


def test_an_error_is_raised_in_all_threads_that_the_call_served():
    error = ValueError("no")
    outcomes = _run_in_parallel(_SlowCall(error))
    assert outcomes == [error] * (_THREADS + 1)


def test_a_thread_does_not_wait_longer_than_its_timeout():
    call = _SlowCall()
    shared = SharedCall(call)
    first = threading.Thread(target=shared.run, args=(_TIMEOUT_S,))
    first.start()
    call.started.wait(_TIMEOUT_S)
    with pytest.raises(CallNotSharedError):
        shared.run(0.01)
    call.released.set()
    first.join(_TIMEOUT_S)
    shared.run(_TIMEOUT_S)
    assert call.count == 2
