"""Detects whether an owner whose records have stopped has failed or may still write."""

from almondstack.jobs import OwnerNotice
from almondstack.ownership.claim_priority import ClaimPriority, instance_of
from almondstack.ownership.liveness import Liveness, probe_liveness
from almondstack.ownership.outage_probes import OutageProbes
from almondstack.ownership.settings import OwnershipSettings
from almondstack.ownership.silence_timer import SilenceTimer

__all__ = ["OwnerFailureDetector"]


class OwnerFailureDetector:
    """Decides whether the owner has failed, from its silence and from liveness probes.

    Parameters
    ----------
    settings : OwnershipSettings
        Time-outs.
    incarnation : str
        Unique name of this process.
    silence_timer : SilenceTimer
        Time since the last record of the owner was read.
    claim_priority : ClaimPriority
        Tells whether this process is the standby.
    """

    __slots__ = ("_claim_priority", "_incarnation", "_outage_probes", "_settings", "_silence_timer")

    def __init__(
        self,
        settings: OwnershipSettings,
        incarnation: str,
        silence_timer: SilenceTimer,
        claim_priority: ClaimPriority,
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._silence_timer = silence_timer
        self._claim_priority = claim_priority
        self._outage_probes = OutageProbes(settings)

    def note_read(self, *, has_owner_record: bool) -> None:
        """Note a successful read, and whether it returned a record of the owner."""
        self._outage_probes.note_read(has_owner_record=has_owner_record)

    def note_failed_read(self, notice: OwnerNotice | None, now_s: float) -> None:
        """Note a failed read; the owner is probed while they go on."""
        self._outage_probes.note_failed_read(notice, now_s)

    def is_vacant(self, notice: OwnerNotice | None, now_s: float, *, is_new: bool) -> bool:
        """Whether no process owns the jobs, as far as this process can determine.

        Parameters
        ----------
        notice : OwnerNotice or None
            The newest notice of an owner that was read.
        now_s : float
            Present monotonic time in seconds.
        is_new : bool
            Whether this process has just started.
        """
        if self._silence_timer.is_expired(now_s):
            return not self._may_be_writing(notice, now_s)
        return self._has_failed(notice, now_s, is_new=is_new)

    def read_wait_s(self, notice: OwnerNotice | None, now_s: float) -> float:
        """Return for how long the next read may wait for a record, in seconds.

        Explanation
        -----------
        Two kinds of process read for a shorter time than ``wait_s``: the standby, and one that
        suspects the owner since an outage.  Their read ends when the owner's silence is long
        enough for a probe, and soon after each probe.  With the full wait, a standby that has
        seen half a second of silence would check again only after a whole second.
        """
        doubt_s = self._suspected_after_s(notice)
        if doubt_s is None and not self._claim_priority.is_standby:
            return self._settings.wait_s
        if doubt_s is None:
            doubt_s = self._settings.standby_doubt_s
        elif not self._silence_timer.is_measuring:
            # The silence is measured from the end of this read on.
            return self._settings.standby_check_s
        remaining_s = self._silence_timer.remaining_s(now_s, doubt_s)
        return min(self._settings.wait_s, max(remaining_s, self._settings.standby_check_s))

    def _may_be_writing(self, notice: OwnerNotice | None, now_s: float) -> bool:
        """Whether a silent owner is alive and reads the store, so that it may still write."""
        if notice is None or not notice.owner:
            return False
        if self._silence_timer.has_lasted(now_s, self._settings.patience_s):
            return False
        found = probe_liveness(notice.address, self._settings.probe_timeout_s)
        if found is None or found.incarnation != notice.owner:
            return False
        return found.contact_age_s < self._settings.doubt_s

    def _has_failed(self, notice: OwnerNotice | None, now_s: float, *, is_new: bool) -> bool:
        """Whether a silent owner's process has ended, is unreachable or can't use the store.

        Explanation
        -----------
        A claim is safe at any time, since it fences the earlier owner; this only decides
        how early to make one.
        """
        if notice is None:
            return False
        if instance_of(notice.owner) == instance_of(self._incarnation):
            # An earlier process on the same instance, which must have ended.
            return notice.owner != self._incarnation
        suspected_s = self._suspected_after_s(notice)
        probe_after_s = self._probe_after_s(is_new=is_new)
        if suspected_s is not None:
            probe_after_s = min(probe_after_s, suspected_s)
        if not self._silence_timer.has_lasted(now_s, probe_after_s):
            return False
        found = probe_liveness(notice.address, self._settings.probe_timeout_s)
        if found is None:
            # Partitioned or suspended; in both cases the owner makes no progress.
            mute_s = self._mute_s if suspected_s is None else self._settings.sign_interval_s
            return self._silence_timer.has_lasted(now_s, mute_s)
        if suspected_s is not None and found.incarnation == notice.owner:
            # It is alive after all, and has had no time to read the store since the outage.
            self._outage_probes.clear()
            return False
        return found.incarnation != notice.owner or self._has_lost_store(found)

    def _has_lost_store(self, owner: Liveness) -> bool:
        """Whether the store rejects the owner's appends, or has stopped answering its reads.

        Explanation
        -----------
        An owner whose appends get no answer keeps ownership: they may be stored, and those
        of a new owner would not be answered either.
        """
        is_rejected = owner.turned_away_s >= self._settings.turned_away_s
        return is_rejected or owner.contact_age_s >= self._settings.deaf_s

    def _suspected_after_s(self, notice: OwnerNotice | None) -> float | None:
        """Return the silence in seconds after which to probe an owner suspected since an outage.

        Returns
        -------
        float or None
            None if there is no such suspicion.
        """
        return None if notice is None else self._outage_probes.needed_silence_s(notice)

    @property
    def _mute_s(self) -> float:
        """Observed silence after which an unreachable owner is considered failed, in seconds."""
        is_standby = self._claim_priority.is_standby
        return self._settings.standby_mute_s if is_standby else self._settings.mute_s

    def _probe_after_s(self, *, is_new: bool) -> float:
        """Return the observed silence after which to probe the owner, in seconds."""
        if is_new:
            return self._settings.new_doubt_s
        # The standby reads more often and so receives each record of the owner sooner.
        is_standby = self._claim_priority.is_standby
        return self._settings.standby_doubt_s if is_standby else self._settings.doubt_s
