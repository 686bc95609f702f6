"""Mutations of the owner that its state machine test must detect."""

import contextlib
from collections.abc import Callable, Iterator
from typing import Any
from unittest import mock

from almondstack.control import (
    lease,
    order_replies,
    owner_round,
    request_handler,
    runs,
    sent_calls,
    session,
    sessions,
)
from almondstack.jobs import RecordKind, RunEnd, active, job_index, occurrence
from almondstack.jobs.records import split_key
from almondstack.placement import rounds
from almondstack.testing import owner_worker

__all__ = ["MUTATIONS"]


@contextlib.contextmanager
def _starts_before_they_are_stored() -> Iterator[None]:
    """Send orders before the planned runs are stored."""
    commit = owner_round.OwnerRound.commit

    def send_first(self: Any) -> None:
        self.send_starts()
        for one in self._parts.sessions._sessions.values():
            one.pump_orders()
        commit(self)

    with mock.patch.object(owner_round.OwnerRound, "commit", send_first):
        yield


@contextlib.contextmanager
def _ends_acknowledged_before_they_are_stored() -> Iterator[None]:
    """Acknowledge ends to workers before they are stored."""
    commit = owner_round.OwnerRound.commit

    def acknowledge_first(self: Any) -> None:
        parts = self._parts
        for worker, number in parts.table._poll_replies.ends._unacknowledged.items():
            one = parts.sessions.get(worker)
            if one is not None:
                one.acknowledge(number)
                one.pump_poll()
        commit(self)

    with mock.patch.object(owner_round.OwnerRound, "commit", acknowledge_first):
        yield


@contextlib.contextmanager
def _cut_lists_count_as_whole() -> Iterator[None]:
    """Take a run for lost that a list of ended runs lacks because it was cut short."""
    note_poll = runs.RunTable.note_poll

    def note_whole(self: Any, worker: Any, sent_s: float, reply: Any, now_s: float) -> None:
        note_poll(self, worker, sent_s, reply._replace(is_whole=True), now_s)

    with mock.patch.object(runs.RunTable, "note_poll", note_whole):
        yield


@contextlib.contextmanager
def _clocks_count_as_exact() -> Iterator[None]:
    """Extrapolate the last reading of a worker's clock, however old, as if it kept exact time."""

    def extend(self: Any, now_s: float) -> int:
        self._own_extension_s = now_s
        reading = self._reading
        base_ms = reading.clock_ms if reading is not None else self._registered_ms
        age_s = now_s - reading.received_s if reading is not None else 0.0
        return int(base_ms + (age_s + self._settings.lease_s) * 1000.0)

    has_none = lease.WorkerLease.needs_reading
    with (
        mock.patch.object(lease.WorkerLease, "extend", extend),
        mock.patch.object(
            lease.WorkerLease,
            "needs_reading",
            lambda self, now_s: self._reading is None and has_none(self, now_s),
        ),
    ):
        yield


@contextlib.contextmanager
def _unclear_starts_count_as_not_started() -> Iterator[None]:
    """Return the task of an unclear start to waiting at once, as if the start had an answer."""

    def release(self: Any, task: Any, pending: Any, now_s: float) -> None:
        pending.answers = pending.tries
        self._table.release(task, RunEnd.LOST, "", now_s)

    with mock.patch.object(order_replies.OrderReplies, "_resolve_unclear", release):
        yield


@contextlib.contextmanager
def _unreachable_workers_count_as_empty() -> Iterator[None]:
    """Mark the runs of an unreachable worker as lost before its lease has expired."""
    expired = property(lambda self: 0.0)
    with mock.patch.object(session.WorkerSession, "lease_end_s", expired):
        yield


@contextlib.contextmanager
def _inherited_runs_are_dropped() -> Iterator[None]:
    """Take over jobs without their recorded runs."""

    def drop_runs(self: Any, job: Any, now_s: float) -> None:
        self.jobs[job.id] = job
        for task in job.assigned():
            task.release(now_s)

    with mock.patch.object(runs.RunTable, "restore_job", drop_runs):
        yield


@contextlib.contextmanager
def _cancels_are_ignored() -> Iterator[None]:
    """Ignore cancel records and cancel requests."""
    is_never = property(lambda self: False, lambda self, value: None)
    with (
        mock.patch.object(owner_round.OwnerRound, "cancel", _do_nothing),
        mock.patch.object(job_index.JobEntry, "is_cancelled", is_never),
    ):
        yield


@contextlib.contextmanager
def _cancels_are_ignored_by_queued_starts() -> Iterator[None]:
    """Send queued starts without checking whether they are still wanted."""
    start = session.WorkerSession.start

    def start_anyway(self: Any, order: Any, _is_wanted: Any) -> None:
        start(self, order, lambda: True)

    with mock.patch.object(session.WorkerSession, "start", start_anyway):
        yield


@contextlib.contextmanager
def _refusals_are_not_recorded() -> Iterator[None]:
    """Answer refusals without storing a record, which leaves the log's end unchanged."""
    all_records = request_handler.RequestHandler.records

    def records(self: Any) -> list[Any]:
        return [one for one in all_records(self) if split_key(one.key)[0] is not RecordKind.REFUSAL]

    with mock.patch.object(request_handler.RequestHandler, "records", records):
        yield


@contextlib.contextmanager
def _refusals_are_answered_before_the_log_is_read() -> Iterator[None]:
    """Answer refusals before the log has been read up to their records."""

    def answer(self: Any) -> None:
        waiting, self._awaiting_read = self._awaiting_read, []
        for _, refusal in waiting:
            self._answer_refusal(refusal)

    with mock.patch.object(request_handler.RequestHandler, "answer_refusals", answer):
        yield


def _patch(target: Any, name: str, value: Any) -> Callable[[], Any]:
    return lambda: mock.patch.object(target, name, value)


@contextlib.contextmanager
def _leases_are_renewed_over_new_connections() -> Iterator[None]:
    """Send deadlines over connections that may lead to another life, and don't count them."""
    with (
        mock.patch.object(owner_worker.WorldCaller, "is_connected", True),
        mock.patch.object(sent_calls.SentCalls, "end_s", lambda _sent, life: 0.0),
    ):
        yield


def _complete(_job: Any) -> bool:
    return True


def _do_nothing(*_arguments: Any, **_named: Any) -> None:
    return None


MUTATIONS: dict[str, Callable[[], contextlib.AbstractContextManager[Any]]] = {
    "starts are sent before they are stored": _starts_before_they_are_stored,
    "ends are acknowledged before they are stored": _ends_acknowledged_before_they_are_stored,
    "unclear starts count as not started": _unclear_starts_count_as_not_started,
    "unreachable workers count as empty": _unreachable_workers_count_as_empty,
    "inherited runs are dropped": _inherited_runs_are_dropped,
    "steps start before their predecessors are done": _patch(
        occurrence.Occurrence, "_are_done", lambda _occurrence, _steps: True
    ),
    "jobs complete with their first task": _patch(active.ActiveJob, "_is_complete", _complete),
    "attempts are not counted": _patch(
        active.ActiveJob, "_has_no_attempts_left", lambda _job, _task: False
    ),
    "cut lists count as whole": _cut_lists_count_as_whole,
    "clocks count as exact": _clocks_count_as_exact,
    "deadlines of former lives are not counted": _patch(
        sent_calls.SentCalls, "end_s", lambda _sent, life: 0.0
    ),
    "former and next lives get one token": _patch(
        sent_calls.SentCalls, "needs_higher_token", lambda *_arguments, **_named: False
    ),
    "deadlines of the owner before for former lives are not counted": _patch(
        sessions.SessionTable, "_former_until_s", lambda _table, _worker, _life: None
    ),
    "late starts of former lives are not stopped": _patch(
        runs, "may_reach_next_life", lambda _task, _current, _now_s: False
    ),
    "leases are renewed over new connections": _leases_are_renewed_over_new_connections,
    "ceilings are not checked": _patch(
        rounds.Usage, "allows", lambda _usage, _account, _demand: True
    ),
    "cancels are ignored by queued starts": _cancels_are_ignored_by_queued_starts,
    "cancels are ignored": _cancels_are_ignored,
    "refusals are not recorded": _refusals_are_not_recorded,
    "refusals are answered before the log is read": _refusals_are_answered_before_the_log_is_read,
    "refusals are not retained for delayed requests": _patch(
        request_handler.RequestHandler, "_retain_refusal", _do_nothing
    ),
}
"""The mutations by name; each value makes a context manager that applies one."""
