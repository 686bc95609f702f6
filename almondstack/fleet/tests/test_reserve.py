"""Tests that drains are allowed only while spares could replace a lost rack."""

from almondstack.fleet import FleetView, Observations
from almondstack.fleet.reserve import LossReserve
from almondstack.provider import UsageReport
from almondstack.testing.builders import make_fold
from almondstack.testing.fleet_notes import fleet_note
from almondstack.testing.fleet_world import WORLD_SETTINGS


def _reserve(spares):
    state = make_fold(fleet_note(spares)).state
    reports = {name: UsageReport(instance=name, as_of_s=0.0, running=0) for name in state.instances}
    view = FleetView(state, Observations(now_s=0.0, reports=reports), WORLD_SETTINGS)
    return state, LossReserve(view)


def test_spare_that_covers_a_drain_may_not_be_removed():
    state, reserve = _reserve(2)
    assert reserve.may_remove(state.instances["s9"])
    for name in ("u0", "m4"):
        reserve.remove(state.instances[name])
    assert not reserve.may_remove(state.instances["s8"])
    assert not reserve.may_remove(state.instances["s9"])


def test_drain_without_spares_is_not_allowed():
    state, reserve = _reserve(0)
    assert not reserve.may_remove(state.instances["u0"])
