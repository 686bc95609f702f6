"""The replayed burst: jobs go through the owner's rounds from submission to completion."""

from almondstack.bench.owner_burst import Burst, OwnerBurst


def test_a_burst_runs_through_the_rounds_of_the_owner():
    burst = OwnerBurst(Burst(jobs=40, workers=16, rounds=30))
    cost = burst.run()
    assert cost.starts > 100
    assert set(cost.part_ms) == {"news", "workers", "fleet", "placement", "commit", "orders"}
    assert burst.completed > 20


def test_two_bursts_of_one_seed_start_the_same_runs():
    first, second = (OwnerBurst(Burst(jobs=20, workers=8, rounds=20)).run() for _ in range(2))
    assert first.starts == second.starts
