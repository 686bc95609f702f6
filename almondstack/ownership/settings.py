"""Times of ownership."""

from almondstack.core import PositiveSeconds, Settings

__all__ = ["OwnershipSettings"]


class OwnershipSettings(Settings, frozen=True):
    """When a process follows, signs and takes over.

    Parameters
    ----------
    silence_s : float
        Observed silence after which the owner counts as gone, in seconds.
    patience_s : float
        The same for an owner that says itself that it hears the store, so that
        only its writes have trouble, in seconds.
    stagger_s : float
        Random addition, so that processes don't all claim at once, in seconds.
    doubt_s : float
        Observed silence after which it is asked whether the owner's process
        still listens, in seconds.
    mute_s : float
        Observed silence after which an owner whose process can't be reached
        counts as gone, in seconds.
    standby_doubt_s : float
        The same for the process that should own the jobs next, in seconds.
    turned_away_s : float
        An owner whose writes the store has refused for so long counts as gone for those
        who hear the store, in seconds.
    deaf_s : float
        So does one that has not heard the store for so long, in seconds.
    new_doubt_s : float
        The same for a process that has just started: others may have died with
        the one before it, in seconds.
    slower_waits_s : float
        How long a process leaves the first claim to clearly faster ones, in seconds.
    standby_waits_s : float
        How long all leave the first claim to the process that the owner has named, in
        seconds, beside the time that three answers of a slow store take.
    faster_waits_s : float
        A clearly faster process takes over from a slower owner after hearing it,
        and the store without a failure, for so long, in seconds.
    probe_timeout_s : float
        Bound on that question, in seconds.
    sign_interval_s : float
        The owner writes at least this often, in seconds; three signs may be
        lost before it counts as silent.
    wait_s : float
        How long one read waits for a record, in seconds.
    pace_s, owner_pace_s : float
        Pause between reads of a follower and of the owner, in seconds; it lets
        records gather, since each read is paid for.
    retry_pause_s : float
        Pause after a failed read, in seconds.
    unsure_s : float
        How long an owner that can't write goes on extending leases, in seconds;
        with the lease itself this outlasts an ordinary outage of the store.
    """

    silence_s: PositiveSeconds = 1.5
    patience_s: PositiveSeconds = 4.0
    stagger_s: PositiveSeconds = 0.3
    doubt_s: PositiveSeconds = 0.7
    mute_s: PositiveSeconds = 1.0
    standby_doubt_s: PositiveSeconds = 0.55
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
