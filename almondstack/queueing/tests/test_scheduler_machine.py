"""Tests of the scheduler against the oracle, and of mutations that it must detect."""

import pytest
from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from almondstack.queueing import FairScheduler, Grant, PoolQueue, TeamQueue, WaitingState
from almondstack.queueing.tests.scheduler_machine import SchedulerMachine
from almondstack.testing.fake_permits import OverdrawnError

_ORDINARY = settings(max_examples=120, stateful_step_count=40)
_MUTATED = settings(
    max_examples=150, stateful_step_count=30, report_multiple_bugs=False, phases=[Phase.generate]
)


def _double_finish(monkeypatch):
    original = FairScheduler.finish

    def finish(self, grant, run_time_s=None):
        grant.is_finished = False
        original(self, grant, run_time_s)

    monkeypatch.setattr(FairScheduler, "finish", finish)


def _ended_call_stays_in_queue(monkeypatch):
    monkeypatch.setattr(TeamQueue, "remove", lambda self, item: None)


def _does_not_release_ceiling_permit(monkeypatch):
    original = Grant.__init__

    def init(self, waiting, instance, resources, started_s):
        original(self, waiting, instance, resources[1:], started_s)

    monkeypatch.setattr(Grant, "__init__", init)


def _ordinary_first(monkeypatch):
    def head(self):
        return next(iter([*self._ordinary.values(), *self._urgent.values()]), None)

    monkeypatch.setattr(TeamQueue, "head", head)


def _stops_at_blocked_team(monkeypatch):
    original = PoolQueue.in_order

    def in_order(self, now_s):
        return iter(list(original(self, now_s))[:1])

    monkeypatch.setattr(PoolQueue, "in_order", in_order)


def _does_not_start_ready(monkeypatch):
    monkeypatch.setattr(FairScheduler, "start_ready", lambda self: None)


def _cancels_running(monkeypatch):
    original = FairScheduler.cancel
    monkeypatch.setattr(
        FairScheduler, "cancel", lambda self, name: original(self, name) or name in self._by_id
    )


def _counts_running_twice(monkeypatch):
    original = FairScheduler._start

    def start(self, pool, queue, item, grant):
        original(self, pool, queue, item, grant)
        queue.running += 1

    monkeypatch.setattr(FairScheduler, "_start", start)


def _leaves_cancelled_paused(monkeypatch):
    original = FairScheduler._close

    def close(self, item):
        original(self, item)
        if item.has_started is False and item.grant is None:
            item.state = WaitingState.PAUSED

    monkeypatch.setattr(FairScheduler, "_close", close)


MUTATIONS = {
    "finish-twice-releases-twice": _double_finish,
    "ended-call-stays-in-its-queue": _ended_call_stays_in_queue,
    "ceiling-permit-not-released": _does_not_release_ceiling_permit,
    "ordinary-before-urgent": _ordinary_first,
    "blocked-team-stops-the-others": _stops_at_blocked_team,
    "no-start-after-a-finish": _does_not_start_ready,
    "cancel-claims-a-running-call": _cancels_running,
    "running-counted-twice": _counts_running_twice,
    "cancelled-call-not-closed": _leaves_cancelled_paused,
}


def test_scheduler_agrees_with_oracle():
    run_state_machine_as_test(SchedulerMachine, settings=_ORDINARY)


@pytest.mark.parametrize("name", MUTATIONS)
def test_oracle_detects_mutation(name, monkeypatch):
    MUTATIONS[name](monkeypatch)
    with pytest.raises((AssertionError, OverdrawnError)):
        run_state_machine_as_test(SchedulerMachine, settings=_MUTATED)
