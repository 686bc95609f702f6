import threading

from almondstack.core import SystemClock
from almondstack.model import Limit
from almondstack.permits import LocalPermits, ceiling_resource, rate_resource, slots_resource
from almondstack.testing.builders import make_fold, make_note
from almondstack.testing.clocks import ManualClock

NORTH = ceiling_resource("north")
U1 = slots_resource("u1")


def test_several_resources_are_acquired_together_or_not_at_all():
    permits = LocalPermits(make_fold(), SystemClock())
    assert all(permits.try_acquire([NORTH]) for _ in range(8))
    assert not permits.try_acquire([U1, NORTH])
    assert permits.free_count(U1) == 8


def test_threads_never_hold_more_than_the_bound():
    permits = LocalPermits(make_fold(), SystemClock())
    lock, running, peak = threading.Lock(), [0], [0]

    def work() -> None:
        for _ in range(500):
            if permits.try_acquire([NORTH, U1]):
                with lock:
                    running[0] += 1
                    peak[0] = max(peak[0], running[0])
                with lock:
                    running[0] -= 1
                permits.release([NORTH, U1])

    threads = [threading.Thread(target=work) for _ in range(12)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert 0 < peak[0] <= 8
    assert permits.free_count(NORTH) == 8


def test_rate_admits_its_burst_and_then_its_rate():
    clock = ManualClock()
    limit = Limit(name="night", team="north", per_second=2, burst=4)
    permits = LocalPermits(make_fold(make_note(limits=(limit,))), clock)
    permits.refresh()
    rate = [rate_resource("night")]
    clock.advance(100)
    assert [permits.try_acquire(rate) for _ in range(5)] == [True] * 4 + [False]
    clock.advance(0.5)
    assert [permits.try_acquire(rate) for _ in range(2)] == [True, False]
