from hypothesis import given
from hypothesis import strategies as st

from almondstack.bench.fairness import max_min, share_seconds
from almondstack.bench.outcome_check import CallerEnd, CallerRecord, RecordedRun
from almondstack.testing.small_fleet import make_small_note

_TEAMS = st.dictionaries(
    st.sampled_from("abcde"),
    st.tuples(st.integers(0, 40), st.integers(1, 9)),
    min_size=1,
)


@given(st.integers(1, 60), _TEAMS)
def test_max_min_team_gains_only_at_the_cost_of_one_with_less(capacity, teams):
    demands = {name: float(demand) for name, (demand, _) in teams.items()}
    weights = {name: float(weight) for name, (_, weight) in teams.items()}
    parts = max_min(capacity, demands, weights)
    assert sum(parts.values()) <= min(capacity, sum(demands.values())) + 1e-6
    short = [name for name in parts if parts[name] < demands[name] - 1e-6]
    if short:
        assert abs(sum(parts.values()) - capacity) < 1e-6
    for name in short:
        level = parts[name] / weights[name]
        assert all(parts[other] / weights[other] <= level + 1e-6 for other in parts)


def test_share_seconds_compares_runs_with_fair_shares():
    records = [
        CallerRecord(
            work_id=f"{team}{number}",
            team=team,
            queue="payments",
            end=CallerEnd.ANSWERED,
            intended_s=0.0,
            ended_s=1.0,
        )
        for team in ("north", "south")
        for number in range(8)
    ]
    runs = [RecordedRun("p1", f"south{n}", "south", "k", False, 0.0, 1.0) for n in range(8)]
    north, south = sorted(
        share_seconds(make_small_note(), records, runs), key=lambda item: item.team
    )
    assert (round(north.fair, 2), north.got, round(south.fair, 2), south.got) == (5.33, 0, 2.67, 8)
