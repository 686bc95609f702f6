"""Mutations of the fleet code, which the scripted cases of the state machine must detect."""

import contextlib
import itertools
from collections.abc import Callable, Iterator
from typing import Any
from unittest import mock

import msgspec

from almondstack.fleet import DrainEstimates, acts, observations, planner, steps, view
from almondstack.fold import instances
from almondstack.keeper import act_executor, rounds
from almondstack.model import InstancePhase, InstanceState, WaveSetAside, state
from almondstack.provider import ActKind

__all__ = ["MUTATIONS", "Mutation"]


class Mutation(msgspec.Struct, frozen=True):
    """A named mutation.

    Parameters
    ----------
    name : str
        The fault that the mutation introduces.
    apply : callable
        Returns a context manager in which the code under test has the fault.
    """

    name: str
    apply: Callable[[], contextlib.AbstractContextManager[Any]]


def _patch(target: Any, name: str, value: Any) -> Callable[[], Any]:
    return lambda: mock.patch.object(target, name, value)


def _always(value: Any) -> Callable[..., Any]:
    return lambda *_arguments: value


@contextlib.contextmanager
def _fresh_act_ids() -> Iterator[None]:
    """Every attempt of a reboot has a new act id."""
    numbers = itertools.count()
    inner = acts.needed_act

    def needed(item: InstanceState) -> Any:
        act = inner(item)
        if act is None or act.kind is not ActKind.REBOOT:
            return act
        return msgspec.structs.replace(act, id=f"{act.target}@{next(numbers)}x")

    with mock.patch.object(acts, "needed_act", needed):
        yield


@contextlib.contextmanager
def _act_ids_from_version() -> Iterator[None]:
    """The id of an act changes when a release note changes the instance."""
    inner = acts.needed_act

    def needed(item: InstanceState) -> Any:
        act = inner(item)
        name = f"{item.name}@{item.version}"
        return act and msgspec.structs.replace(act, id=name, order=item.version)

    with mock.patch.object(acts, "needed_act", needed):
        yield


@contextlib.contextmanager
def _acts_without_lease() -> Iterator[None]:
    """A keeper sends acts that neither expire nor can be superseded."""
    inner = act_executor.ActExecutor._ensure

    def ensure(self: Any, act: Any) -> None:
        inner(self, msgspec.structs.replace(act, expires_s=1e12, order=10**9))

    with mock.patch.object(act_executor.ActExecutor, "_ensure", ensure):
        yield


@contextlib.contextmanager
def _lost_counts_as_serving() -> Iterator[None]:
    """Failed and unseen instances count as serving for the budget."""
    phases = (InstancePhase.SERVING, InstancePhase.FAILED, InstancePhase.UNSEEN)

    def count(self: state.FleetState, pool: str) -> int:
        return sum(i.phase in phases for i in self.instances.values() if i.pool == pool)

    with mock.patch.object(state.FleetState, "serving_count", count):
        yield


@contextlib.contextmanager
def _owner_changes_while_draining() -> Iterator[None]:
    """The planner treats a draining instance as empty, so its pool may change too early."""

    def empty(*_arguments: Any) -> bool:
        return True

    with mock.patch.object(steps, "_is_empty", empty):
        yield


@contextlib.contextmanager
def _stalled_without_set_aside() -> Iterator[None]:
    """A stalled instance returns to service but is not set aside by its wave."""
    inner = steps._after_draining

    def after(*arguments: Any) -> list[Any]:
        return [body for body in inner(*arguments) if not isinstance(body, WaveSetAside)]

    with mock.patch.object(steps, "_after_draining", after):
        yield


def _any_budget(_state: Any, _known: Any) -> None:
    return None


def _any_empty_report_counts(_self: Any, _instance: str, _drained: Any) -> bool:
    report = _self.reports.get(_instance)
    return report is not None and report.running == 0


MUTATIONS: tuple[Mutation, ...] = (
    Mutation("fold-ignores-budget", _patch(instances, "_check_budget", _any_budget)),
    Mutation("lost-counts-as-serving", _lost_counts_as_serving),
    Mutation("drain-not-proven-empty", _owner_changes_while_draining),
    Mutation(
        "empty-by-report-from-before-the-drain",
        _patch(observations.Observations, "is_empty_since", _any_empty_report_counts),
    ),
    Mutation("fresh-act-ids", _fresh_act_ids),
    Mutation("act-ids-from-version", _act_ids_from_version),
    Mutation("acts-without-lease-or-order", _acts_without_lease),
    Mutation("drain-act-not-checked-again", _patch(act_executor, "is_safe_now", _always(True))),
    Mutation("old-reports-trusted", _patch(view.FleetView, "is_confirmed_healthy", _always(True))),
    Mutation(
        "acts-before-reading-the-log", _patch(rounds.KeeperRounds, "_catch_up", _always(True))
    ),
    Mutation("done-not-recorded", _patch(instances, "record_wave_return", _always(None))),
    Mutation(
        "failed-on-return-not-counted", _patch(instances, "record_wave_failure", _always(None))
    ),
    Mutation("wave-never-ends", _patch(planner, "next_wave_changes", _always([]))),
    Mutation("stalled-drain-waited-for", _patch(DrainEstimates, "stall_s", _always(1e9))),
    Mutation("stalled-not-set-aside", _stalled_without_set_aside),
    Mutation("aborted-wave-reboots", _patch(instances, "check_wave_reboot", _always(None))),
    Mutation(
        "reboot-of-undrained",
        lambda: mock.patch.dict(
            instances.NEXT_PHASES, {InstancePhase.DRAINING: frozenset(InstancePhase)}
        ),
    ),
)
