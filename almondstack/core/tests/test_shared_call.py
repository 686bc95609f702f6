"""Many threads that want the same read of a store."""

import threading

import pytest

from almondstack.core.shared_call import CallNotSharedError, SharedCall

_THREADS = 24
_TIMEOUT_S = 10.0


class _SlowCall:
    """Counts calls; the first one goes on until it is let go."""

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
    """Let one thread call, and many more ask meanwhile; return what each was told."""
    shared = SharedCall(call)
    outcomes = []
    threads = [threading.Thread(target=_run, args=(shared, outcomes)) for _ in range(_THREADS + 1)]
    threads[0].start()
    call.started.wait(_TIMEOUT_S)
    for thread in threads[1:]:
        thread.start()
    # All wait now, since none of them may go by the call that began before it asked.
    assert outcomes == []
    call.released.set()
    for thread in threads:
        thread.join(_TIMEOUT_S)
    return outcomes


def test_lagging_two_calls_serve_any_number_of_threads():
    call = _SlowCall()
    assert _run_in_parallel(call) == [None] * (_THREADS + 1)
    # A thread that was slow to ask may have needed one more.
    assert 2 <= call.count <= 3


def test_an_error_goes_to_all_whom_the_call_served():
    error = ValueError("no")
    outcomes = _run_in_parallel(_SlowCall(error))
    assert outcomes == [error] * (_THREADS + 1)


def test_a_thread_does_not_wait_longer_than_it_says():
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
