"""Probes the owner during an outage of the store, so that an owner lost in it is replaced soon."""

from almondstack.jobs import OwnerNotice
from almondstack.ownership.liveness import probe_liveness
from almondstack.ownership.settings import OwnershipSettings

__all__ = ["OutageProbes"]

_INTERVAL_S = 1.0
"""Least time between two probes by one process, in seconds."""


class OutageProbes:
    """What probes during an outage of the store have shown of the owner.

    Explanation
    -----------
    An outage shows nothing about the owner, so that its silence is measured anew afterwards.
    The probes shorten that wait: an owner that has ended, or does not answer either, need not be
    waited for as long as one that may only have lost the store.  The findings hold until a
    record of the owner is read.

    Parameters
    ----------
    settings : OwnershipSettings
        Time-outs.
    """

    __slots__ = ("_failing_since_s", "_is_ended", "_owner", "_probed_s", "_settings")

    def __init__(self, settings: OwnershipSettings) -> None:
        self._settings = settings
        self._failing_since_s: float | None = None
        self._probed_s = 0.0
        self._owner = ""
        self._is_ended = False

    def note_read(self, *, has_owner_record: bool) -> None:
        """Note a successful read; a record of the owner shows that it is alive."""
        self._failing_since_s = None
        if has_owner_record:
            self.clear()

    def note_failed_read(self, notice: OwnerNotice | None, now_s: float) -> None:
        """Probe the owner if the outage lasts and a probe is due."""
        if self._failing_since_s is None:
            self._failing_since_s = now_s
        if now_s - self._failing_since_s < self._settings.doubt_s:
            return
        if notice is None or not notice.owner or now_s - self._probed_s < _INTERVAL_S:
            return
        self._probed_s = now_s
        found = probe_liveness(notice.address, self._settings.probe_timeout_s)
        if found is not None and found.incarnation == notice.owner:
            self.clear()
            return
        self._owner = notice.owner
        self._is_ended = found is not None

    def clear(self) -> None:
        """Forget what the probes have shown: the owner is alive."""
        self._owner = ""

    def needed_silence_s(self, notice: OwnerNotice) -> float | None:
        """Return how long a suspected owner must be silent to be probed again, in seconds.

        Explanation
        -----------
        None if the outage has shown nothing against this owner.  One that did not answer may be
        partitioned from this process only, and writes within ``sign_interval_s`` then.
        """
        if not self._owner or self._owner != notice.owner:
            return None
        return self._settings.new_doubt_s if self._is_ended else self._settings.sign_interval_s
