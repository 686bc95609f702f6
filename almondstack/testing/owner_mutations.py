"""Faults put into the owner on purpose, which its state machine must catch."""

import contextlib
from collections.abc import Callable, Iterator
from typing import Any
from unittest import mock

from almondstack.control import owner, request_rounds, runs, session
from almondstack.jobs import RecordKind, RunEnd, active, job_index
from almondstack.jobs.records import split_key
from almondstack.placement import rounds

__all__ = ["MUTATIONS"]


@contextlib.contextmanager
def _starts_before_they_are_stored() -> Iterator[None]:
    """Orders go out before the intents are in the store."""
    commit = owner.Owner._commit

    def send_first(self: Any) -> None:
        self._send_starts()
        for one in self._sessions._sessions.values():
            one.pump_orders()
        commit(self)

    with mock.patch.object(owner.Owner, "_commit", send_first):
        yield


@contextlib.contextmanager
def _ends_acknowledged_before_they_are_stored() -> Iterator[None]:
    """Workers hear that an end was seen before it is in the store."""
    commit = owner.Owner._commit

    def acknowledge_first(self: Any) -> None:
        for worker, number in self._table._ends.items():
            one = self._sessions.get(worker)
            if one is not None:
                one.acknowledge(number)
                one.pump_look()
        commit(self)

    with mock.patch.object(owner.Owner, "_commit", acknowledge_first):
        yield


@contextlib.contextmanager
def _unclear_starts_count_as_not_started() -> Iterator[None]:
    """A start without an answer lets its task wait again at once."""

    def release(self: Any, task: Any, pending: Any, now_s: float) -> None:
        self._release(task, RunEnd.LOST, "", now_s)

    with mock.patch.object(runs.RunTable, "_settle_unclear", release):
        yield


@contextlib.contextmanager
def _silent_workers_count_as_empty() -> Iterator[None]:
    """What sits on a worker that does not answer is given up before its lease ends."""
    none_left = property(lambda self: 0.0)
    with mock.patch.object(session.WorkerSession, "lease_end_s", none_left):
        yield


@contextlib.contextmanager
def _inherited_runs_are_forgotten() -> Iterator[None]:
    """A new owner takes the jobs over without the runs that are recorded."""

    def forget(self: Any, job: Any, now_s: float) -> None:
        self.jobs[job.id] = job
        for task in job.assigned():
            task.release(now_s)

    with mock.patch.object(runs.RunTable, "inherit", forget):
        yield


@contextlib.contextmanager
def _deaf_to_cancels() -> Iterator[None]:
    """An owner goes by the submissions alone."""
    is_never = property(lambda self: False, lambda self, value: None)
    with (
        mock.patch.object(owner.Owner, "_cancel", _nothing),
        mock.patch.object(job_index.JobEntry, "is_cancelled", is_never),
    ):
        yield


@contextlib.contextmanager
def _starts_are_sent_whenever_their_turn_comes() -> Iterator[None]:
    """A start that waited behind other calls is not looked at again."""
    start = session.WorkerSession.start

    def start_anyway(self: Any, order: Any, _is_wanted: Any) -> None:
        start(self, order, lambda: True)

    with mock.patch.object(session.WorkerSession, "start", start_anyway):
        yield


@contextlib.contextmanager
def _refusals_are_not_recorded() -> Iterator[None]:
    """A refusal is answered without a record, so that the log may stay where it is."""
    all_records = request_rounds.RequestRounds.records

    def records(self: Any) -> list[Any]:
        return [one for one in all_records(self) if split_key(one.key)[0] is not RecordKind.REFUSAL]

    with mock.patch.object(request_rounds.RequestRounds, "records", records):
        yield


@contextlib.contextmanager
def _refusals_are_answered_unread() -> Iterator[None]:
    """A refusal is answered before the log has been read up to its record."""

    def answer(self: Any) -> None:
        waiting, self._unread = self._unread, []
        for _, refusal in waiting:
            self._answer_refusal(refusal)

    with mock.patch.object(request_rounds.RequestRounds, "answer_refusals", answer):
        yield


def _patch(target: Any, name: str, value: Any) -> Callable[[], Any]:
    return lambda: mock.patch.object(target, name, value)


def _complete(_job: Any) -> bool:
    return True


def _nothing(*_arguments: Any, **_named: Any) -> None:
    return None


MUTATIONS: dict[str, Callable[[], contextlib.AbstractContextManager[Any]]] = {
    "starts before they are stored": _starts_before_they_are_stored,
    "ends acknowledged before they are stored": _ends_acknowledged_before_they_are_stored,
    "unclear starts count as not started": _unclear_starts_count_as_not_started,
    "silent workers count as empty": _silent_workers_count_as_empty,
    "inherited runs are forgotten": _inherited_runs_are_forgotten,
    "steps do not wait for others": _patch(active, "_is_step_done", lambda _tasks: True),
    "jobs complete with their first task": _patch(active.ActiveJob, "_is_complete", _complete),
    "attempts are not counted": _patch(
        active.ActiveJob, "_has_no_attempts_left", lambda _job, _task: False
    ),
    "ceilings are not looked at": _patch(
        rounds.Usage, "allows", lambda _usage, _account, _demand: True
    ),
    "cancels are not heard by starts that wait": _starts_are_sent_whenever_their_turn_comes,
    "cancels are not heard": _deaf_to_cancels,
    "refusals leave earlier attempts in force": _refusals_are_not_recorded,
    "refusals are answered before the log is read": _refusals_are_answered_unread,
    "refusals are forgotten when requests come late": _patch(
        request_rounds.RequestRounds, "_remember", _nothing
    ),
}
"""Each fault by its name."""
