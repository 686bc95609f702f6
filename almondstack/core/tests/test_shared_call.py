"""Many threads that want the same read of a store."""

import threading

import pytest

from almondstack.core.shared_call import CallNotSharedError, SharedCall

_THREADS = 24
_PATIENCE_S = 10.0


class _SlowCall:
    """Counts calls; the first one goes on until it is let go."""

    def __init__(self, error=None):
        self.count = 0
        self.began = threading.Event()
        self.let_go = threading.Event()
        self._error = error

    def __call__(self):
        self.count += 1
        self.began.set()
        self.let_go.wait(_PATIENCE_S)
        if self._error is not None:
            raise self._error


def _ask(shared, outcomes):
    try:
        shared.run(_PATIENCE_S)
    except ValueError as error:
        outcomes.append(error)
    else:
        outcomes.append(None)


def _ask_side_by_side(call):
    """Let one thread call, and many more ask meanwhile; return what each was told."""
    shared = SharedCall(call)
    outcomes = []
    threads = [threading.Thread(target=_ask, args=(shared, outcomes)) for _ in range(_THREADS + 1)]
    threads[0].start()
    call.began.wait(_PATIENCE_S)
    for thread in threads[1:]:
        thread.start()
    # All wait now, since none of them may go by the call that began before it asked.
    assert outcomes == []
    call.let_go.set()
    for thread in threads:
        thread.join(_PATIENCE_S)
    return outcomes


def test_lagging_two_calls_serve_any_number_of_threads():
    call = _SlowCall()
    assert _ask_side_by_side(call) == [None] * (_THREADS + 1)
    # A thread that was slow to ask may have needed one more.
    assert 2 <= call.count <= 3


def test_an_error_goes_to_all_whom_the_call_served():
    error = ValueError("no")
    outcomes = _ask_side_by_side(_SlowCall(error))
    assert outcomes == [error] * (_THREADS + 1)


def test_a_thread_does_not_wait_longer_than_it_says():
    call = _SlowCall()
    shared = SharedCall(call)
    first = threading.Thread(target=shared.run, args=(_PATIENCE_S,))
    first.start()
    call.began.wait(_PATIENCE_S)
    with pytest.raises(CallNotSharedError):
        shared.run(0.01)
    call.let_go.set()
    first.join(_PATIENCE_S)
    shared.run(_PATIENCE_S)
    assert call.count == 2
