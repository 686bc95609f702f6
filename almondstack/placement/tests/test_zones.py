"""Which availability zones are in doubt."""

from almondstack.placement.zones import doubtful_zones
from almondstack.testing.job_builders import make_worker


def _worker(id, zone, heard_s=0.0, failed_s=0.0):
    worker = make_worker(id, zone=zone)
    worker.heard_s = heard_s
    worker.failed_s = failed_s
    return worker


def test_zone_cut_in_a_burst_its_idle_workers_get_nothing():
    """A zone was cut at 33.5 s, and each burst sent it a third of its work (trouble-1)."""
    workers = [
        _worker("a1", "a", heard_s=10.0, failed_s=11.2),
        _worker("a2", "a", heard_s=10.1, failed_s=11.0),
        _worker("idle", "a"),
        _worker("b1", "b", heard_s=11.1),
    ]
    assert doubtful_zones(workers) == {"a"}


def test_two_workers_that_crash_leave_their_zone_in_use():
    workers = [
        _worker("a1", "a", heard_s=10.0, failed_s=11.2),
        _worker("a2", "a", heard_s=10.1, failed_s=11.0),
        _worker("a3", "a", heard_s=11.1),
    ]
    assert doubtful_zones(workers) == set()


def test_one_worker_that_does_not_answer_says_nothing_of_its_zone():
    assert doubtful_zones([_worker("a1", "a", 10.0, 11.0), _worker("a2", "a")]) == set()


def test_a_zone_is_trusted_again_once_one_of_its_workers_answers():
    failing = [_worker(f"a{n}", "a", heard_s=10.0, failed_s=11.0) for n in range(3)]
    assert doubtful_zones(failing) == {"a"}
    failing[0].heard_s = 12.0
    assert doubtful_zones(failing) == set()
