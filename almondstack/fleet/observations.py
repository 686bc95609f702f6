"""What a keeper has seen of the fleet besides the log."""

import msgspec

from almondstack.provider import ActStatus, UsageReport

__all__ = ["Observations"]


class Observations(msgspec.Struct, frozen=True, kw_only=True):
    """One keeper's view at one moment; times in seconds.

    Parameters
    ----------
    now_s : float
        The keeper's monotonic clock; all ``*_since_s`` are on it.
    unix_s : float
        Seconds since 1970.
    view_age_s : float
        Time since the log last answered.
    reports_age_s : float
        Time since the platform last answered.
    platform_now_s : float
        The platform's clock in its last answer.
    reports : dict of str to UsageReport
        Newest report of each instance.
    acts : dict of str to ActStatus
        Acts that this keeper knows of, by id.
    phase_since_s : dict of str to float
        When each instance was first seen in its present phase.
    good_since_s, bad_since_s : dict of str to float
        Since when every report of an instance was good, or bad.
    listed : frozenset of str
        Instances that the list shows, and not as leaving.
    leaving : frozenset of str
        Instances that the list shows as leaving.
    absent_since_s : dict of str to float
        Since when neither list nor reports showed an instance.
    full_since_s : dict of str to float
        Since when every slot of a pool was in use.
    entry_running : dict of str to int
        Requests that entries say they run on an instance.
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
        """Return how long an instance has been in its phase."""
        return self.now_s - self.phase_since_s.get(instance, self.now_s)

    def report_age_s(self, instance: str) -> float:
        """Return the age of the newest report; infinite if there is none."""
        report = self.reports.get(instance)
        if report is None:
            return float("inf")
        return self.reports_age_s + self.platform_now_s - report.as_of_s

    def good_for_s(self, instance: str) -> float:
        """Return for how long all reports of an instance were good."""
        return self.now_s - self.good_since_s.get(instance, self.now_s)

    def bad_for_s(self, instance: str) -> float:
        """Return for how long all reports of an instance were bad."""
        return self.now_s - self.bad_since_s.get(instance, self.now_s)

    def absent_for_s(self, instance: str) -> float:
        """Return for how long nothing showed an instance."""
        return self.now_s - self.absent_since_s.get(instance, self.now_s)

    def full_for_s(self, pool: str) -> float:
        """Return for how long every slot of a pool was in use."""
        return self.now_s - self.full_since_s.get(pool, self.now_s)

    def is_empty_since(self, instance: str, drained: ActStatus) -> bool:
        """Return whether a report from after a drain shows that nothing runs."""
        report = self.reports.get(instance)
        if report is None or not drained.is_done:
            return False
        is_later = report.as_of_s > drained.at_s and report.is_draining
        return is_later and report.running == 0 and not self.entry_running.get(instance)
