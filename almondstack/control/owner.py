"""Lifecycle of the owner: takes the jobs over, runs rounds, and releases ownership."""

import queue
import threading
import time

from almondstack.control.journal import OwnerJournal
from almondstack.control.owner_parts import OwnerParts
from almondstack.control.owner_round import JobChange, OwnerRound
from almondstack.control.services import OwnerServices
from almondstack.control.set_aside import setting_aside
from almondstack.core.supervision import report_error
from almondstack.ownership import FencedError, OwnershipSettings

__all__ = ["Owner", "previous_extension_bound_s"]

_MAX_LOGGED_JOBS = 20
"""Ids of jobs in one event."""


class Owner:
    """Schedules all jobs until it releases ownership or is fenced by another process.

    Parameters
    ----------
    services : OwnerServices
        Services and settings that the owner uses.
    incarnation : str
        Identifies this run of this process.
    token : int
        Fencing token of this ownership.
    sequence : int
        Sequence number of the append that claimed ownership.
    last_write_s : float, optional
        Monotonic time after which the previous owner has stored nothing, in seconds;
        the present time by default.
    """

    __slots__ = (
        "_has_failed",
        "_inbox",
        "_is_released",
        "_last_write_s",
        "_parts",
        "_round",
        "_services",
        "_thread",
        "_token",
    )

    def __init__(
        self,
        services: OwnerServices,
        incarnation: str,
        token: int,
        sequence: int,
        last_write_s: float | None = None,
    ) -> None:
        self._services = services
        self._token = token
        self._last_write_s = time.monotonic() if last_write_s is None else last_write_s
        self._inbox: queue.SimpleQueue[object] = queue.SimpleQueue()
        self._parts = OwnerParts(
            services,
            OwnerJournal(services, incarnation, token, sequence),
            token,
            self._inbox.put,
            previous_extension_bound_s(self._last_write_s, services.ownership),
        )
        self._round = OwnerRound(self._parts, self._inbox)
        self._has_failed = False
        self._is_released = threading.Event()
        self._thread = threading.Thread(target=self._run, name="owner", daemon=True)

    @property
    def token(self) -> int:
        """Fencing token with which this ownership began."""
        return self._token

    @property
    def parts(self) -> OwnerParts:
        """What this owner consists of."""
        return self._parts

    @property
    def rounds(self) -> OwnerRound:
        """The rounds of this owner."""
        return self._round

    @property
    def inbox(self) -> queue.SimpleQueue[object]:
        """Events that the next round handles."""
        return self._inbox

    @property
    def is_released(self) -> bool:
        """Whether this owner ends after its present round."""
        return self._is_released.is_set()

    @property
    def is_alive(self) -> bool:
        """Whether the control loop is running."""
        return self._thread.is_alive()

    @property
    def turned_away_s(self) -> float:
        """Seconds for which the store has refused every append of this owner."""
        return self._parts.journal.turned_away_s

    @property
    def has_failed(self) -> bool:
        """Whether an unforeseen error has ended the control loop."""
        return self._has_failed

    def start(self) -> None:
        """Start the control loop."""
        self._thread.start()

    def release(self) -> None:
        """Release ownership after the current round."""
        self._is_released.set()

    def abandon(self) -> None:
        """Stop at once, without storing a release of ownership."""
        self._is_released.set()
        self._parts.journal.close()

    def join(self, timeout_s: float) -> None:
        """Wait up to ``timeout_s`` seconds for the control loop to end."""
        self._thread.join(timeout_s)

    def take_over(self) -> None:
        """Take up the jobs of the previous owner with their recorded runs."""
        parts = self._parts
        index = self._services.index
        index.set_listener(lambda kind, job: self._inbox.put(JobChange(kind, job)))
        runs = 0
        for job_id, entry in index.entries():
            if entry.state.is_final and entry.progress is None:
                continue
            with setting_aside(self._services, parts.table, job_id):
                runs += self._take_up(job_id)
        self._services.events.write("state-taken-over", jobs=len(parts.table.jobs), runs=runs)

    def _take_up(self, job_id: str) -> int:
        """Take a stored job up; return how many runs of it may be on workers."""
        parts = self._parts
        job = parts.records.load(job_id)
        if job is None:
            return 0
        if job.is_over():
            parts.records.schedule_removal(job_id)
            return 0
        parts.table.restore_job(job, time.monotonic())
        parts.delays.note_inherited(job, time.monotonic() - self._last_write_s)
        if not job.is_open:
            parts.table.stop_all(job, time.monotonic())
        return len(job.assigned())

    def release_if_ranges_needed(self) -> None:
        """Release ownership if a job needs the ranged form, which this owner's claim lacks.

        Explanation
        -----------
        Builds without that form must not own the jobs once a record is in it.  The next
        claim sees the job and says so in its notice, which such builds can't read.
        """
        jobs = self._parts.records.lacking_ranges
        if jobs and not self._is_released.is_set():
            self._services.events.write(
                "owner-lacks-ranges", token=self._token, jobs=jobs[:_MAX_LOGGED_JOBS]
            )
            self.release()

    def _run(self) -> None:
        self._services.events.write("owner-started", token=self._token)
        try:
            self._run_rounds()
            why = "released"
        except FencedError as error:
            why = str(error)
        except Exception as error:
            # The stored records are whole: the next owner goes on from them.
            report_error()
            self._has_failed = True
            why = f"failed: {error!r}"
        finally:
            self._parts.close()
        self._services.events.write("owner-ended", token=self._token, why=why)

    def _run_rounds(self) -> None:
        self.take_over()
        self._parts.fleet.start()
        self._parts.advisor.start()
        self._services.requests.open(self._token, self._inbox.put)
        while not self._is_released.is_set():
            self._round.run()
            self.release_if_ranges_needed()
        self._round.run_last()


def previous_extension_bound_s(last_write_s: float, settings: OwnershipSettings) -> float:
    """Return the time until which the previous owner may have extended leases.

    Explanation
    -----------
    An owner may extend leases for ``unsure_s`` seconds after its last write, which
    happened at ``last_write_s`` at the latest.  That the previous owner is
    unreachable does not show that it has stopped extending them.  Times are
    monotonic seconds.

    Examples
    --------
    >>> previous_extension_bound_s(100.0, OwnershipSettings(unsure_s=2.5))
    102.5
    """
    return last_write_s + settings.unsure_s
