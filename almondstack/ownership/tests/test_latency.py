"""Time-outs of appends with many callers and one slow partition of the store."""

import heapq
import itertools

import pytest

from almondstack.ownership import StoreLatency

_APPEND_S = 0.04
_ANSWER_S = 0.31
_MAX_QUEUED_S = 2.0
_DEADLINE_S = 2.9


class _Partition:
    """Executes appends one by one, and rejects them while 2 s of others are queued."""

    def __init__(self):
        self.free_s = 0.0
        self.taken = 0

    def append(self, now_s):
        """Return the time of the answer, and whether the append was accepted."""
        if self.free_s - now_s > _MAX_QUEUED_S:
            return now_s + _ANSWER_S, False
        self.free_s = max(self.free_s, now_s) + _APPEND_S
        self.taken += 1
        return self.free_s + _ANSWER_S, True


def _count_answered(partition, latency, per_s, length_s):
    """Let callers append, each until its deadline; return how many got a positive answer."""
    answered = 0
    order = itertools.count()
    tries = [
        (number / per_s, next(order), number / per_s, latency.timeouts_s())
        for number in range(int(per_s * length_s))
    ]
    while tries:
        now_s, _, began_s, timeouts_s = heapq.heappop(tries)
        answer_s, is_taken = partition.append(now_s)
        until_s = min(now_s + next(timeouts_s), began_s + _DEADLINE_S)
        if answer_s <= until_s:
            answered += is_taken
        elif until_s < began_s + _DEADLINE_S:
            heapq.heappush(tries, (until_s, next(order), began_s, timeouts_s))
    return answered


@pytest.fixture
def slow():
    """Return the latency estimate of a process that has received a slow answer."""
    latency = StoreLatency()
    latency.note_read(_ANSWER_S)
    return latency


def test_no_append_is_repeated_in_a_slow_store(slow):
    """Repeats fill the store's queue, so that no append is answered in time for 4 s."""
    partition = _Partition()
    answered = _count_answered(partition, slow, per_s=26.0, length_s=5.0)
    assert answered == partition.taken
    assert answered >= 0.9 * 5.0 / _APPEND_S


def test_an_append_whose_answer_was_lost_is_repeated_soon():
    latency = StoreLatency()
    latency.note_read(0.004)
    assert sum(itertools.islice(latency.timeouts_s(), 2)) <= 1.0


def test_a_slow_answer_expires(slow, monkeypatch):
    noted_s, _ = slow._slow_reads._delays[0]
    monkeypatch.setattr("almondstack.ownership.latency.time.monotonic", lambda: noted_s + 3.0)
    assert not slow.is_slow and slow.expected_s == 0.0


def test_a_fast_answer_ends_the_slow_state_at_once(slow):
    """Otherwise processes reject callers for 2 s after the store has recovered."""
    slow.note_refused()
    slow.note_read(0.8, wait_s=1.0)
    assert slow.is_slow
    slow.note_read(1.004, wait_s=1.0)
    assert not slow.is_slow and slow.expected_s == 0.0


def test_a_fast_read_does_not_shorten_the_wait_for_queued_appends(slow):
    """Repeats after 0.5 s leave callers without an answer, 75 of them within one second."""
    slow.note_append(2.1)
    slow.note_read(0.004)
    assert slow.expected_s == 2.1
    slow.note_append(0.01)
    assert slow.expected_s == 0.0


def test_no_append_is_expected_in_time_while_a_slow_store_is_full(slow):
    assert slow.expected_s == _ANSWER_S
    slow.note_refused()
    assert slow.expected_s > _DEADLINE_S


def test_a_rejection_by_a_fast_store_does_not_affect_the_next_append():
    latency = StoreLatency()
    latency.note_refused()
    latency.note_unanswered(0.5)
    assert latency.expected_s == 0.0 and not latency.is_slow
