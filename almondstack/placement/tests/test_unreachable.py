"""Detection of unreachable availability zones and racks."""

from almondstack.placement.unreachable import UnreachableDomains, find_unreachable
from almondstack.testing.job_builders import make_worker


def _worker(id, zone, last_answer_s=0.0, last_failure_s=0.0, rack=""):
    worker = make_worker(id, zone=zone, labels=("kind", rack) if rack else ())
    worker.last_answer_s = last_answer_s
    worker.last_failure_s = last_failure_s
    return worker


def test_zone_cut_in_a_burst_the_whole_zone_is_unreachable():
    """A zone was cut off, and a third of the work of each burst was still sent to its workers."""
    workers = [
        _worker("a1", "a", last_answer_s=10.0, last_failure_s=11.2),
        _worker("a2", "a", last_answer_s=10.1, last_failure_s=11.0),
        _worker("idle", "a"),
        _worker("b1", "b", last_answer_s=11.1),
    ]
    assert find_unreachable(workers).zones == {"a"}


def test_two_crashed_workers_do_not_make_their_zone_unreachable():
    workers = [
        _worker("a1", "a", last_answer_s=10.0, last_failure_s=11.2),
        _worker("a2", "a", last_answer_s=10.1, last_failure_s=11.0),
        _worker("a3", "a", last_answer_s=11.1),
    ]
    assert find_unreachable(workers) == UnreachableDomains()


def test_one_worker_without_answer_does_not_make_its_zone_unreachable():
    workers = [_worker("a1", "a", 10.0, 11.0), _worker("a2", "a")]
    assert find_unreachable(workers) == UnreachableDomains()


def test_a_zone_is_reachable_again_once_one_of_its_workers_answers():
    failing = [_worker(f"a{n}", "a", last_answer_s=10.0, last_failure_s=11.0) for n in range(3)]
    assert find_unreachable(failing).zones == {"a"}
    failing[0].last_answer_s = 12.0
    assert find_unreachable(failing) == UnreachableDomains()


def test_dark_rack_in_a_burst_the_whole_rack_is_unreachable():
    """Eight workers of a rack failed while other racks of their zone stayed reachable."""
    workers = [
        _worker("a1", "a", last_answer_s=10.0, last_failure_s=11.2, rack="r1"),
        _worker("a2", "a", last_answer_s=10.1, last_failure_s=11.0, rack="r1"),
        _worker("a3", "a", last_answer_s=11.1, rack="r2"),
    ]
    unreachable = find_unreachable(workers)
    assert (
        unreachable.covers("a", "r1")
        and not unreachable.covers("a", "r2")
        and not unreachable.covers("a", "")
    )
