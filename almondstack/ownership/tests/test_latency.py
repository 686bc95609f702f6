"""How long answers of the store are waited for: many callers and one partition that is slow."""

import heapq
import itertools

import pytest

from almondstack.ownership import StoreLatency

_APPEND_S = 0.04
_ANSWER_S = 0.31
_MOST_WAITING_S = 2.0
_DEADLINE_S = 2.9


class _Partition:
    """Takes appends one by one, and refuses them while 2 s of others wait."""

    def __init__(self):
        self.free_s = 0.0
        self.taken = 0

    def append(self, now_s):
        """Return when the answer comes, and whether the append was taken."""
        if self.free_s - now_s > _MOST_WAITING_S:
            return now_s + _ANSWER_S, False
        self.free_s = max(self.free_s, now_s) + _APPEND_S
        self.taken += 1
        return self.free_s + _ANSWER_S, True


def _answered(partition, latency, per_s, length_s):
    """Let callers append, each until its deadline; return how many got their answer."""
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
    """Return the latency of a process that has seen a slow answer."""
    latency = StoreLatency()
    latency.note_read(_ANSWER_S)
    return latency


def test_a_slow_store_is_not_asked_to_append_anything_twice(slow):
    """Repeats filled its line: in 4 s it answered none (lbna-almond-grown trouble-2)."""
    partition = _Partition()
    answered = _answered(partition, slow, per_s=26.0, length_s=5.0)
    assert answered == partition.taken
    assert answered >= 0.9 * 5.0 / _APPEND_S


def test_an_answer_that_was_lost_is_soon_asked_for_again():
    latency = StoreLatency()
    latency.note_read(0.004)
    assert sum(itertools.islice(latency.timeouts_s(), 2)) <= 1.0


def test_a_slow_answer_is_forgotten_after_a_while(slow, monkeypatch):
    noted_s, _ = slow._slow_reads._took[0]
    monkeypatch.setattr("almondstack.ownership.latency.time.monotonic", lambda: noted_s + 3.0)
    assert not slow.is_slow and slow.expected_s == 0.0


def test_a_quick_answer_ends_it_at_once(slow):
    """Processes refused callers for 2 s after the store was quick again (trouble-2)."""
    slow.note_refused()
    slow.note_read(0.8, wait_s=1.0)
    assert slow.is_slow
    slow.note_read(1.004, wait_s=1.0)
    assert not slow.is_slow and slow.expected_s == 0.0


def test_what_waits_in_line_when_the_store_is_quick_again_is_still_waited_for(slow):
    """Repeats after 0.5 s left 75 callers without an answer in that second (trouble-2)."""
    slow.note_append(2.1)
    slow.note_read(0.004)
    assert slow.expected_s == 2.1
    slow.note_append(0.01)
    assert slow.expected_s == 0.0


def test_no_append_is_worth_waiting_for_once_a_slow_store_takes_no_more(slow):
    assert slow.expected_s == _ANSWER_S
    slow.note_refused()
    assert slow.expected_s > _DEADLINE_S


def test_a_refusal_of_a_quick_store_says_nothing_of_the_next_append():
    latency = StoreLatency()
    latency.note_refused()
    latency.note_unanswered(0.5)
    assert latency.expected_s == 0.0 and not latency.is_slow
