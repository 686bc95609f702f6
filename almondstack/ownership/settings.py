"""Settings of ownership: time-outs, delays and intervals."""

from almondstack.core import PositiveSeconds, Settings

__all__ = ["OwnershipSettings"]


class OwnershipSettings(Settings, frozen=True):
    """Time-outs, delays and intervals of followers and the owner.

    Explanation
    -----------
    Observed silence is the time in which a process read the store without a failure and
    without a record of the owner.

    Parameters
    ----------
    silence_s : float
        Observed silence after which the owner is considered failed, in seconds.
    patience_s : float
        The same for an owner that answers liveness probes and reads the store, so that
        only its writes are affected, in seconds.
    stagger_s : float
        Upper bound of a random addition to ``silence_s``, so that processes don't all
        claim at the same time, in seconds.
    doubt_s : float
        Observed silence after which the owner's process is probed, in seconds.
    mute_s : float
        Observed silence after which an owner that does not answer probes is considered
        failed, in seconds.
    standby_doubt_s : float
        ``doubt_s`` for the standby, in seconds.
    standby_mute_s : float
        ``mute_s`` for the standby, in seconds.
    standby_check_s : float
        Interval between checks of a silent owner by the standby, in seconds.
    turned_away_s : float
        An owner whose appends the store has rejected for this long is considered failed
        by processes that can read the store, in seconds.
    deaf_s : float
        So is an owner that the store has not answered for this long, in seconds.
    new_doubt_s : float
        ``doubt_s`` for a process that has just started, in seconds; the owner may have
        crashed together with the predecessor of this process.
    slower_waits_s : float
        Delay of a claim in favour of clearly faster processes, in seconds.
    standby_waits_s : float
        Delay of a claim in favour of the standby that the owner has named, in seconds; on
        a slow store, the time for three answers is added.
    faster_waits_s : float
        Time after which a clearly faster process takes over from a slower owner, in
        seconds, counted from the owner's first notice or the last failed read.
    probe_timeout_s : float
        Time-out of a liveness probe, in seconds.
    sign_interval_s : float
        Longest interval between appends of the owner, in seconds; three consecutive
        ones may be lost before the owner is considered failed.
    wait_s : float
        How long one read waits for a record, in seconds.
    pace_s, owner_pace_s : float
        Pause between reads of a follower and of the owner, in seconds; each read has a
        cost, and with a pause it returns more records.
    retry_pause_s : float
        Pause after a failed read, in seconds.
    unsure_s : float
        How long an owner that can't write continues to extend leases, in seconds; with
        the duration of the lease this outlasts an ordinary outage of the store.
    """

    silence_s: PositiveSeconds = 1.5
    patience_s: PositiveSeconds = 4.0
    stagger_s: PositiveSeconds = 0.3
    doubt_s: PositiveSeconds = 0.7
    mute_s: PositiveSeconds = 1.0
    standby_doubt_s: PositiveSeconds = 0.55
    standby_mute_s: PositiveSeconds = 0.7
    standby_check_s: PositiveSeconds = 0.05
    turned_away_s: PositiveSeconds = 0.3
    deaf_s: PositiveSeconds = 0.9
    new_doubt_s: PositiveSeconds = 0.15
    slower_waits_s: PositiveSeconds = 0.5
    standby_waits_s: PositiveSeconds = 0.6
    faster_waits_s: PositiveSeconds = 1.0
    probe_timeout_s: PositiveSeconds = 0.15
    sign_interval_s: PositiveSeconds = 0.4
    wait_s: PositiveSeconds = 0.5
    pace_s: PositiveSeconds = 0.2
    owner_pace_s: PositiveSeconds = 0.03
    retry_pause_s: PositiveSeconds = 0.25
    unsure_s: PositiveSeconds = 2.5
