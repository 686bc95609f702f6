"""Tests of the faults, warnings and differences of release notes."""

import pytest

from almondstack.fold import Refusal
from almondstack.model import (
    Configured,
    FleetState,
    Limit,
    Queue,
    ReleaseApplied,
    ReleaseNote,
    Withdrawn,
    encode_record,
)
from almondstack.release_note import (
    ChangeAction,
    DesiredConfig,
    check_note,
    config_tables,
    derive_note,
    diff_tables,
    is_in_force,
    merge_note,
)
from almondstack.testing.builders import (
    make_fold,
    make_instance,
    make_key,
    make_note,
    make_pool,
    make_team,
)


def _added(**items) -> ReleaseNote:
    return ReleaseNote(added=Configured(**items))


def _limit(name: str, **fields) -> Limit:
    return Limit(**{"name": name, "team": "north", "per_second": 5, "burst": 5, **fields})


FAULTS = {
    "instance-twice": (
        _added(instances=(make_instance("u7"), make_instance("u7"))),
        {("added.instances[1]", "duplicate")},
    ),
    "two-pools": (
        _added(instances=(make_instance("u7"), make_instance("u7", pool="other"))),
        {("added.instances[1]", "two-pools"), ("added.instances[0].pool", "dangling")},
    ),
    "exists": (_added(teams=(make_team(),)), {("added.teams[0]", "exists")}),
    "changed-team-missing": (
        ReleaseNote(changed=Configured(teams=(make_team("east"),))),
        {("changed.teams[0]", "missing")},
    ),
    "pool-withdrawn-but-referenced": (
        ReleaseNote(withdrawn=Withdrawn(pools=("score",))),
        {
            ("in-force.queues.invoices.pool", "dangling"),
            ("in-force.instances.u1.pool", "dangling"),
            ("in-force.instances.u2.pool", "dangling"),
            ("in-force.instances.u3.pool", "dangling"),
        },
    ),
    "budget": (
        ReleaseNote(changed=Configured(pools=(make_pool(min_serving=4),))),
        {("changed.pools[0].min_serving", "budget")},
    ),
    "shared-address": (
        _added(instances=(make_instance("u7", address="127.0.1.2:8000"),)),
        {("added.instances[0].address", "shared-address")},
    ),
    "unfit": (
        ReleaseNote(changed=Configured(pools=(make_pool(needs_accelerators=1),))),
        {(f"in-force.instances.u{number}.accelerators", "unfit") for number in (1, 2, 3)},
    ),
    "open-queue-without-team": (
        _added(queues=(Queue(name="open", pool="score", is_open=True),)),
        {("added.queues[0].open_team", "no-team")},
    ),
    "queue-without-team": (
        ReleaseNote(withdrawn=Withdrawn(teams=("north",), keys=("k1",))),
        {("in-force.queues.invoices.teams", "no-team")},
    ),
    "limits": (
        _added(limits=(_limit("l1"), _limit("l2"), _limit("l3", queue="none"))),
        {("added.limits[1]", "duplicate"), ("added.limits[2].queue", "dangling")},
    ),
}


@pytest.mark.parametrize("name", sorted(FAULTS))
def test_check_reports_each_fault_at_its_path(name):
    note, expected = FAULTS[name]
    fold = make_fold()
    found = {(fault.path, fault.code.value) for fault in check_note(fold.state, note).faults}
    assert found == expected


@pytest.mark.parametrize("name", sorted(FAULTS))
def test_fold_refuses_notes_that_the_check_faults(name):
    fold = make_fold()
    verdict = fold.apply(1, encode_record("operator", 2, ReleaseApplied(1, FAULTS[name][0])))
    assert verdict.refusal is Refusal.NOTE_INVALID
    assert config_tables(fold.state) == config_tables(make_fold().state)
    assert fold.state.revision == 1


def test_check_warns_if_losing_the_largest_failure_domain_breaks_the_budget():
    racks = ("a1", "a1", "a2", "a3")
    instances = tuple(
        make_instance(f"u{number}", rack=rack, zone=rack[0]) for number, rack in enumerate(racks)
    )
    pools, teams = (make_pool(min_serving=3, size=4),), (make_team(ceiling=32),)
    note = make_note(pools=pools, teams=teams, instances=instances)
    warnings = check_note(FleetState(), note).warnings
    assert [(item.path, item.code.value) for item in warnings] == [
        ("added.pools[0].min_serving", "rack-loss")
    ]
    assert "leaves 2 of 3" in warnings[0].message


def test_derived_note_produces_the_desired_configuration_and_is_then_empty():
    fold = make_fold()
    tables = config_tables(fold.state)
    desired = DesiredConfig(
        teams=(make_team(ceiling=5), make_team("east")),
        instances=tuple(make_instance(f"u{number}") for number in (2, 3, 4)),
    )
    note = derive_note(tables, desired)
    after, faults = merge_note(tables, note)
    assert not faults and set(after.keys) == {"k1"}
    assert set(after.teams.values()) == set(desired.teams)
    assert set(after.instances.values()) == set(desired.instances)
    changes = {(item.name, item.action) for item in diff_tables(tables, after)}
    assert changes == {
        ("north", ChangeAction.CHANGED),
        ("east", ChangeAction.ADDED),
        ("u1", ChangeAction.WITHDRAWN),
        ("u4", ChangeAction.ADDED),
    }
    assert derive_note(after, desired) == ReleaseNote()


def test_difference_hides_digest_values_and_is_in_force_compares_them():
    tables = config_tables(make_fold().state)
    changed = Configured(keys=(make_key(secret="other"),))
    after, _ = merge_note(tables, ReleaseNote(changed=changed))
    change = diff_tables(tables, after)[0]
    assert change.detail == "digest changed"
    assert is_in_force(make_fold().state, make_note())
    assert not is_in_force(make_fold().state, ReleaseNote(changed=changed))
