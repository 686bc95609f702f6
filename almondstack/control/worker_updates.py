"""Brings the owner's workers in line with the registered ones, and releases lost runs."""

import time

from almondstack.control.lease import longest_lease_s
from almondstack.control.owner_parts import OwnerParts
from almondstack.placement import WorkerInfo

__all__ = ["WorkerUpdates"]

_MAX_LOGGED_WORKERS = 20
"""Ids of workers in one event."""


class WorkerUpdates:
    """Adds, drops and loses workers as their registrations and leases say.

    Parameters
    ----------
    parts : OwnerParts
        The owner's sessions, runs and journal.
    """

    __slots__ = ("_parts",)

    def __init__(self, parts: OwnerParts) -> None:
        self._parts = parts

    def run_round(self, now_s: float) -> None:
        """Follow the registrations, and mark runs as lost whose leases have expired."""
        parts = self._parts
        changes = parts.sessions.reconcile(parts.table, now_s)
        for info in changes.restarted:
            parts.services.events.write("worker-reborn", worker=info.id, life=info.life)
            parts.table.note_worker_restart(info.id, info.life, now_s)
        if changes.awaiting:
            self._request_token(changes.awaiting)
        for worker in changes.added:
            parts.table.add_worker(worker, now_s)
        for worker_id, session in parts.sessions.unreachable(parts.table):
            if now_s > session.lease_end_s:
                parts.table.mark_worker_lost(
                    worker_id, "its lease is over", now_s, session.lease_state
                )
        self._mark_orphaned_lost(now_s)

    def drop_restarted(self, worker_id: str, life: int) -> None:
        """Drop a worker that has restarted, until its new incarnation has registered."""
        parts = self._parts
        parts.services.events.write("worker-reborn", worker=worker_id, life=life)
        parts.table.note_worker_restart(worker_id, life, time.monotonic())
        parts.table.workers.pop(worker_id, None)
        parts.sessions.drop_restarted(worker_id, life)

    def drop(self, worker_id: str, why: str) -> None:
        """Drop a worker that is gone for good, with its runs."""
        parts = self._parts
        parts.table.mark_worker_lost(worker_id, why, time.monotonic(), may_return=False)
        parts.table.workers.pop(worker_id, None)
        parts.sessions.drop(worker_id)

    def _mark_orphaned_lost(self, now_s: float) -> None:
        """Mark runs on unknown workers as lost once every lease of theirs has expired."""
        parts = self._parts
        control = parts.services.control
        if now_s <= parts.previous_extension_s + longest_lease_s(control):
            return
        before_s = now_s - longest_lease_s(control)
        for task in list(parts.table.orphaned(before_s)):
            if now_s > parts.sessions.lease_end_s(task.worker, task.life):
                parts.table.mark_task_lost(task, "its worker is unknown", now_s)

    def _request_token(self, awaiting: list[WorkerInfo]) -> None:
        """Claim a higher token, which calls for former lives of these workers don't have."""
        parts = self._parts
        token = parts.journal.request_token()
        parts.services.requests.add_token(token)
        parts.services.events.write(
            "token-requested",
            token=token,
            lives={info.id: info.life for info in awaiting[:_MAX_LOGGED_WORKERS]},
            workers=len(awaiting),
        )
