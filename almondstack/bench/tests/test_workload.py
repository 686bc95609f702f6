"""Tests of the example notes and of the arrivals generated from a seed."""

import pytest

from almondstack.bench.layout import load_note
from almondstack.bench.mixes import EXAMPLES, MIXES
from almondstack.bench.workload import arrivals, demo_key
from almondstack.core import hash_secret, split_key
from almondstack.model import FleetState
from almondstack.release_note import check_note


@pytest.mark.parametrize("name", sorted(MIXES))
def test_example_note_is_valid_and_contains_the_demo_keys(name):
    note = load_note(EXAMPLES / f"{name}.json")
    assert check_note(FleetState(), note).faults == []
    digests = {key.id: key.digest for key in note.added.keys}
    teams = {team for load in MIXES[name]().loads for team in load.weights} - {"public"}
    for team in teams:
        key_id, secret = split_key(demo_key(team))
        assert digests[key_id] == hash_secret(secret)


@pytest.mark.parametrize("name", sorted(MIXES))
def test_arrivals_depend_only_on_the_seed_and_bursts_rotate_over_queues(name):
    note = load_note(EXAMPLES / f"{name}.json")
    mix = MIXES[name]()
    items = arrivals(mix, note, ["a", "b"], seed=1)
    assert items == arrivals(mix, note, ["a", "b"], seed=1)
    assert items != arrivals(mix, note, ["a", "b"], seed=2)
    assert len({item.work_id for item in items}) == len(items)
    first = mix.loads[0]
    own = [item for item in items if item.queue == first.queue]
    in_burst = sum(item.intended_s < mix.turn_s for item in own)
    assert in_burst > 0.8 * len(own)
