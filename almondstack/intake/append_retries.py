"""Retries of appends for callers, within the caller's deadline and the store's capacity."""

import time
from collections.abc import Callable

from almondstack.core import LocalMetrics
from almondstack.core.events import EventLog
from almondstack.intake.verdicts import Verdict
from almondstack.ownership import StoreLatency
from almondstack.ownership.errors import FencedError, StoreError, StoreRefusedError

__all__ = ["AppendRetries"]

_RETRY_PAUSE_S = 0.05
_MAX_RETRY_PAUSE_S = 0.4


class AppendRetries:
    """Retries appends, with time-outs that follow the latency of the store.

    Parameters
    ----------
    latency : StoreLatency
        Recent answer times of the store.
    events : EventLog
        Log of failed appends.
    metrics : LocalMetrics
        Counters and timers of appends.
    """

    __slots__ = ("_events", "_latency", "_metrics")

    def __init__(self, latency: StoreLatency, events: EventLog, metrics: LocalMetrics) -> None:
        self._latency = latency
        self._events = events
        self._metrics = metrics

    def run(self, call: Callable[[float], None], job: str, timeout_s: float) -> Verdict:
        """Repeat a call of the store until it succeeds, is rejected or runs out of time.

        Parameters
        ----------
        call : callable
            Makes one try, with a time-out in seconds.
        job : str
            The job's id, for the event log.
        timeout_s : float
            Time for all tries, in seconds.

        Returns
        -------
        Verdict
            ``DONE``, ``NOT_STORED`` or ``UNCLEAR``; never ``NOT_STORED`` once a try got no
            answer, since it may still be stored.

        Raises
        ------
        FencedError
            The append was fenced and will never be stored.
        """
        began_s = time.monotonic()
        is_unclear = False
        pause_s = _RETRY_PAUSE_S
        for try_s in self._latency.timeouts_s():
            left_s = timeout_s - (time.monotonic() - began_s)
            expected_s = self._latency.expected_s
            # An append that can't be answered in time would only delay others in the queue.
            if left_s <= expected_s:
                self._log_not_attempted(job, left_s, expected_s)
                break
            try:
                call(min(left_s, try_s))
            except FencedError:
                raise
            except StoreRefusedError as error:
                self._metrics.count("append.refused")
                if not is_unclear:
                    self.log_failure(job, error, is_unclear=False)
                    return Verdict.NOT_STORED
            except StoreError as error:
                self._metrics.count("append.unclear")
                if not is_unclear:
                    self.log_failure(job, error, is_unclear=True)
                is_unclear = True
            else:
                self._metrics.timing_ms("append.job", (time.monotonic() - began_s) * 1000.0)
                return Verdict.DONE
            time.sleep(pause_s)
            pause_s = min(2 * pause_s, _MAX_RETRY_PAUSE_S)
        return Verdict.UNCLEAR if is_unclear else Verdict.NOT_STORED

    def log_failure(self, job: str, error: StoreError, *, is_unclear: bool) -> None:
        """Log a failed append; ``is_unclear`` if it may have been stored nevertheless."""
        self._events.write("append-failed", job=job, error=str(error), is_unclear=is_unclear)

    def _log_not_attempted(self, job: str, left_s: float, expected_s: float) -> None:
        """Log that an append is not tried, or not again; ``expected_s`` is inf for a full store."""
        if expected_s <= 0:
            return
        self._metrics.count("append.hopeless")
        self._events.write(
            "append-hopeless",
            job=job,
            left_s=round(left_s, 2),
            expected_s=str(round(expected_s, 2)),
        )
