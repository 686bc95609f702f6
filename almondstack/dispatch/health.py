"""Passive health checks of upstreams with outlier ejection.

Explanation
-----------
Failures and successes of calls are counted with exponentially decaying weight.
An upstream whose failure ratio is high, and well above that of the rest of its
pool, is ejected for a limited time, unless that would leave too few upstreams
of its pool in service.  An upstream to which connections fail repeatedly is
ejected in any case.  After that time a single call is sent as a trial, and a
success readmits the upstream with a gradual increase of load.  Without ejection
an upstream that fails fast would have the most free slots and attract most of
the work.
"""

import math
import threading
from collections.abc import Iterable

import msgspec

from almondstack.core import Clock
from almondstack.dispatch.settings import HealthSettings

__all__ = ["HealthTracker", "HealthReport"]

_SUSPECT_RATIO = 0.3
_MAX_DOUBLINGS = 10


class HealthReport(msgspec.Struct, frozen=True):
    """Health of an upstream as one entry reports it to the others.

    Parameters
    ----------
    instance : str
        Name of the upstream.
    failure_ratio : float
        Weighted fraction of failed attempts.
    volume : float
        Weighted number of attempts.
    is_ejected : bool
        True if the reporting entry has ejected the upstream.
    is_leaving : bool
        True if the upstream itself reported that it is draining.
    """

    instance: str
    failure_ratio: float
    volume: float
    is_ejected: bool = False
    is_leaving: bool = False


class _Record:
    """Decayed counts and ejection state of one upstream."""

    __slots__ = (
        "bad",
        "connect_failures",
        "ejected_until_s",
        "ejections",
        "good",
        "is_down",
        "paused_until_s",
        "ramp_began_s",
        "replied_s",
        "suspected_until_s",
        "updated_s",
    )

    def __init__(self, now_s: float) -> None:
        self.good = 0.0
        self.bad = 0.0
        self.connect_failures = 0
        self.ejections = 0
        self.is_down = False
        self.ejected_until_s: float | None = None
        self.paused_until_s = -math.inf
        self.replied_s = -math.inf
        self.ramp_began_s = -math.inf
        self.suspected_until_s = -math.inf
        self.updated_s = now_s

    @property
    def volume(self) -> float:
        return self.good + self.bad

    @property
    def ratio(self) -> float:
        return self.bad / self.volume if self.volume else 0.0

    def decay(self, now_s: float, window_s: float) -> None:
        factor = math.exp(-max(0.0, now_s - self.updated_s) / window_s)
        self.good *= factor
        self.bad *= factor
        self.updated_s = now_s


class HealthTracker:
    """Tracks the health of all upstreams as observed by this entry.

    Parameters
    ----------
    settings : HealthSettings
        Thresholds and durations.
    clock : Clock
        Time source for decay and ejections.
    """

    __slots__ = ("_clock", "_lock", "_records", "_settings")

    def __init__(self, settings: HealthSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._records: dict[str, _Record] = {}
        self._lock = threading.RLock()

    def may_accept(self, instance: str, used: int, held: int) -> bool:
        """Return True if ``instance`` may be sent one more call now.

        Parameters
        ----------
        instance : str
            Name of the upstream.
        used, held : int
            Slot permits of this entry in use, and in total.
        """
        now_s = self._clock.monotonic()
        with self._lock:
            record = self._record(instance)
            if now_s < record.paused_until_s:
                return False
            if record.ejected_until_s is not None:
                return now_s >= record.ejected_until_s
            ramp = (now_s - record.ramp_began_s) / self._settings.slow_start_s
            return ramp >= 1 or used < max(1, math.ceil(held * ramp))

    def is_ejected(self, instance: str) -> bool:
        """Return True if ``instance`` gets trial calls only."""
        with self._lock:
            return self._record(instance).ejected_until_s is not None

    def is_unreachable(self, instance: str) -> bool:
        """Return True if connections failed and the time of the next trial has not come."""
        now_s = self._clock.monotonic()
        with self._lock:
            record = self._record(instance)
            return record.is_down and now_s < (record.ejected_until_s or now_s)

    def is_suspected(self, instance: str) -> bool:
        """Return True if other upstreams are to be preferred to ``instance``."""
        now_s = self._clock.monotonic()
        with self._lock:
            record = self._decayed(instance)
            has_failed = record.volume >= 1 and record.ratio >= _SUSPECT_RATIO
            is_ejected = record.ejected_until_s is not None
            is_doubted = now_s < record.suspected_until_s or record.connect_failures > 0
            return has_failed or is_ejected or is_doubted

    def suspected(self, instances: Iterable[str]) -> frozenset[str]:
        """Return those of ``instances`` that are suspected."""
        return frozenset(name for name in instances if self.is_suspected(name))

    def idle_s(self, instance: str) -> float:
        """Return the time since the last response of ``instance``, in seconds."""
        with self._lock:
            return self._clock.monotonic() - self._record(instance).replied_s

    def note_start(self, instance: str) -> None:
        """Record a call; during an ejection it is the only trial within ``ejection_s``."""
        with self._lock:
            record = self._record(instance)
            if record.ejected_until_s is not None:
                record.ejected_until_s = self._clock.monotonic() + self._settings.ejection_s

    def note_success(self, instance: str) -> None:
        """Record a complete response, which ends an ejection."""
        with self._lock:
            record = self._decayed(instance)
            record.good += 1
            record.connect_failures = 0
            record.replied_s = record.updated_s
            if record.ejected_until_s is not None:
                self._readmit(record)

    def note_failure(self, instance: str, pool: Iterable[str]) -> None:
        """Record a failed call; ``pool`` names the upstreams to compare with."""
        with self._lock:
            record = self._decayed(instance)
            record.bad += 1
            record.replied_s = record.updated_s
            others = [name for name in pool if name != instance]
            if record.ejected_until_s is not None or self._is_outlier(record, others):
                self._eject(record, others)

    def note_connect_failure(self, instance: str, pool: Iterable[str]) -> None:
        """Record a connection failure, which no call can have caused."""
        with self._lock:
            record = self._decayed(instance)
            record.bad += 1
            record.connect_failures += 1
            others = [name for name in pool if name != instance]
            is_down = record.connect_failures >= self._settings.connect_failures
            if record.ejected_until_s is not None or is_down:
                record.is_down = True
                self._eject(record, [], is_forced=True)
            elif self._is_outlier(record, others):
                self._eject(record, others)

    def note_probe(self, instance: str) -> None:
        """Record a successful probe; an unreachable upstream may get a trial call again.

        Explanation
        -----------
        An upstream that was ejected for failed calls stays ejected, as a probe
        runs no work.
        """
        with self._lock:
            record = self._decayed(instance)
            record.replied_s = record.updated_s
            record.connect_failures = 0
            if record.is_down and record.ejected_until_s is not None:
                record.ejected_until_s = record.updated_s

    def note_overload(self, instance: str) -> None:
        """Record a response that reports overload; new calls pause for a short time."""
        with self._lock:
            record = self._decayed(instance)
            record.replied_s = record.updated_s
            record.paused_until_s = record.updated_s + self._settings.overload_pause_s

    def note_rejoined(self, instance: str) -> None:
        """Reset the record of a rejoined instance and increase its load gradually."""
        with self._lock:
            self._records[instance] = _Record(self._clock.monotonic())
            self._readmit(self._records[instance])

    def retain_only(self, instances: Iterable[str]) -> None:
        """Drop the records of all instances but ``instances``."""
        known = set(instances)
        with self._lock:
            for name in self._records.keys() - known:
                del self._records[name]

    def reports(self) -> tuple[HealthReport, ...]:
        """Return the reports on ejected and failing upstreams for the other entries."""
        with self._lock:
            records = [(name, self._decayed(name)) for name in self._records]
            return tuple(
                HealthReport(name, record.ratio, record.volume, record.ejected_until_s is not None)
                for name, record in records
                if record.ejected_until_s is not None or record.ratio >= _SUSPECT_RATIO
            )

    def merge_reports(self, reports: Iterable[HealthReport]) -> None:
        """Suspect upstreams that other entries report as failing; these are not ejected."""
        until_s = self._clock.monotonic() + self._settings.window_s
        with self._lock:
            for report in reports:
                if report.is_ejected or report.failure_ratio >= _SUSPECT_RATIO:
                    self._record(report.instance).suspected_until_s = until_s

    def _record(self, instance: str) -> _Record:
        found = self._records.get(instance)
        if found is None:
            found = self._records[instance] = _Record(self._clock.monotonic())
        return found

    def _decayed(self, instance: str) -> _Record:
        record = self._record(instance)
        record.decay(self._clock.monotonic(), self._settings.window_s)
        return record

    def _is_outlier(self, record: _Record, others: list[str]) -> bool:
        settings = self._settings
        if record.volume < settings.least_volume or record.ratio < settings.failure_ratio:
            return False
        rest = [self._decayed(name) for name in others]
        volume = sum(item.volume for item in rest)
        ratio = sum(item.bad for item in rest) / volume if volume else 0.0
        return record.ratio >= ratio + settings.ratio_above_pool

    def _eject(self, record: _Record, others: list[str], is_forced: bool = False) -> None:
        is_first = record.ejected_until_s is None
        if is_first and not is_forced and not self._may_eject_another(others):
            return
        longest_s = self._settings.longest_ejection_s
        if record.is_down:
            longest_s = min(longest_s, self._settings.longest_unreachable_s)
        growing_s = self._settings.ejection_s * 2 ** min(record.ejections, _MAX_DOUBLINGS)
        record.ejections += 1
        record.ejected_until_s = record.updated_s + min(growing_s, longest_s)

    def _may_eject_another(self, others: list[str]) -> bool:
        left = sum(self._record(name).ejected_until_s is None for name in others)
        return left >= math.ceil(self._settings.panic_fraction * (len(others) + 1))

    def _readmit(self, record: _Record) -> None:
        record.ejected_until_s = None
        record.is_down = False
        record.ejections = max(0, record.ejections - 1)
        record.connect_failures = 0
        record.bad = 0.0
        record.ramp_began_s = record.updated_s
