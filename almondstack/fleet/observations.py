"""Observations of the fleet that a keeper makes outside the log."""

import msgspec

from almondstack.provider import ActStatus, UsageReport

__all__ = ["Observations"]


class Observations(msgspec.Struct, frozen=True, kw_only=True):
    """Snapshot of one keeper's observations; times are in seconds.

    Parameters
    ----------
    now_s : float
        Time on the keeper's monotonic clock, which all ``*_since_s`` refer to.
    unix_s : float
        Wall-clock time since 1970.
    view_age_s : float
        Time since the last successful read of the log.
    reports_age_s : float
        Time since the platform last returned reports.
    platform_now_s : float
        The platform's clock in its last response.
    reports : dict of str to UsageReport
        Newest usage report of each instance.
    acts : dict of str to ActStatus
        Status of the acts that this keeper submitted, by act id.
    phase_since_s : dict of str to float
        When each instance was first observed in its current phase.
    good_since_s, bad_since_s : dict of str to float
        Since when every report of an instance was healthy, or unhealthy.
    listed : frozenset of str
        Instances in the platform's list that are not marked as leaving.
    leaving : frozenset of str
        Instances in the platform's list that are marked as leaving.
    absent_since_s : dict of str to float
        Since when an instance was in neither the list nor the reports.
    full_since_s : dict of str to float
        Since when (nearly) all slots of a pool were in use.
    entry_running : dict of str to int
        Requests that entry instances report as running on an instance.
    """

    now_s: float
    unix_s: float = 0.0
    view_age_s: float = 0.0
    reports_age_s: float = 0.0
    platform_now_s: float = 0.0
    reports: dict[str, UsageReport] = msgspec.field(default_factory=dict)
    acts: dict[str, ActStatus] = msgspec.field(default_factory=dict)
    phase_since_s: dict[str, float] = msgspec.field(default_factory=dict)
    good_since_s: dict[str, float] = msgspec.field(default_factory=dict)
    bad_since_s: dict[str, float] = msgspec.field(default_factory=dict)
    listed: frozenset[str] = frozenset()
    leaving: frozenset[str] = frozenset()
    absent_since_s: dict[str, float] = msgspec.field(default_factory=dict)
    full_since_s: dict[str, float] = msgspec.field(default_factory=dict)
    entry_running: dict[str, int] = msgspec.field(default_factory=dict)

    def phase_age_s(self, instance: str) -> float:
        """Return how long an instance has been in its current phase, in seconds."""
        return self.now_s - self.phase_since_s.get(instance, self.now_s)

    def report_age_s(self, instance: str) -> float:
        """Return the age of the newest report in seconds; infinite if there is none."""
        report = self.reports.get(instance)
        if report is None:
            return float("inf")
        return self.reports_age_s + self.platform_now_s - report.as_of_s

    def good_for_s(self, instance: str) -> float:
        """Return for how many seconds all reports of an instance were healthy."""
        return self.now_s - self.good_since_s.get(instance, self.now_s)

    def bad_for_s(self, instance: str) -> float:
        """Return for how many seconds all reports of an instance were unhealthy."""
        return self.now_s - self.bad_since_s.get(instance, self.now_s)

    def absent_for_s(self, instance: str) -> float:
        """Return for how many seconds an instance was in neither the list nor the reports."""
        return self.now_s - self.absent_since_s.get(instance, self.now_s)

    def full_for_s(self, pool: str) -> float:
        """Return for how many seconds (nearly) all slots of a pool were in use."""
        return self.now_s - self.full_since_s.get(pool, self.now_s)

    def is_empty_since(self, instance: str, drained: ActStatus) -> bool:
        """Return whether a report made after the drain shows that nothing runs."""
        report = self.reports.get(instance)
        if report is None or not drained.is_done:
            return False
        is_later = report.as_of_s > drained.at_s and report.is_draining
        return is_later and report.running == 0 and not self.entry_running.get(instance)
