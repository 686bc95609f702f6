"""Appends for callers, repeated while their time lasts and the store can take them."""

import time
from collections.abc import Callable

from almondstack.core import NullMetrics
from almondstack.core.events import EventLog
from almondstack.intake.verdicts import Verdict
from almondstack.ownership import StoreLatency
from almondstack.ownership.errors import FencedError, StoreError, StoreRefusedError

__all__ = ["PatientAppends"]

_RETRY_PAUSE_S = 0.05
_MOST_RETRY_PAUSE_S = 0.4


class PatientAppends:
    """Repeats appends as the latency of the store allows.

    Parameters
    ----------
    latency : StoreLatency
        How fast the store answers.
    events : EventLog
        Takes a line for each append that went wrong.
    metrics : NullMetrics
        Counts and times them.
    """

    __slots__ = ("_events", "_latency", "_metrics")

    def __init__(self, latency: StoreLatency, events: EventLog, metrics: NullMetrics) -> None:
        self._latency = latency
        self._events = events
        self._metrics = metrics

    def store_until(self, call: Callable[[float], None], job: str, timeout_s: float) -> Verdict:
        """Repeat a call of the store until it is known to be done, or the time is over.

        Returns
        -------
        Verdict
            ``DONE``, ``NOT_STORED`` or ``UNCLEAR``.

        Raises
        ------
        FencedError
            It was shut out for good.
        """
        began_s = time.monotonic()
        is_unclear = False
        pause_s = _RETRY_PAUSE_S
        for try_s in self._latency.timeouts_s():
            left_s = timeout_s - (time.monotonic() - began_s)
            expected_s = self._latency.expected_s
            # What can't be answered in time only makes others wait behind it.
            if left_s <= expected_s:
                self._note_hopeless(job, left_s, expected_s)
                break
            try:
                call(min(left_s, try_s))
            except FencedError:
                raise
            except StoreRefusedError as error:
                self._metrics.count("append.refused")
                if not is_unclear:
                    self.note_failure(job, error, is_unclear=False)
                    return Verdict.NOT_STORED
            except StoreError as error:
                self._metrics.count("append.unclear")
                if not is_unclear:
                    self.note_failure(job, error, is_unclear=True)
                is_unclear = True
            else:
                self._metrics.timing_ms("append.job", (time.monotonic() - began_s) * 1000.0)
                return Verdict.DONE
            time.sleep(pause_s)
            pause_s = min(2 * pause_s, _MOST_RETRY_PAUSE_S)
        return Verdict.UNCLEAR if is_unclear else Verdict.NOT_STORED

    def note_failure(self, job: str, error: StoreError, *, is_unclear: bool) -> None:
        """Say that an append went wrong, and whether it may be stored all the same."""
        self._events.write("append-failed", job=job, error=str(error), is_unclear=is_unclear)

    def _note_hopeless(self, job: str, left_s: float, expected_s: float) -> None:
        """Say that an append is not tried, or not again; 'inf' if the store takes no more."""
        if expected_s <= 0:
            return
        self._metrics.count("append.hopeless")
        self._events.write(
            "append-hopeless",
            job=job,
            left_s=round(left_s, 2),
            expected_s=str(round(expected_s, 2)),
        )
