"""What the platform can be told to do, and what it reports.

Explanation
-----------
An act has an id that follows from the folded step it belongs to, so every
keeper that takes up the step names the same act, and the platform takes it
once.  Two more conditions keep a keeper that was paused for long from reaching
an instance with a step that the fleet has left behind: the platform refuses an
act whose order is below that of an act it took on the same target (a fencing
token, Kleppmann 2016), and an act that arrives after its lease.
"""

from enum import StrEnum

import msgspec

__all__ = [
    "Act",
    "ActKind",
    "ActStatus",
    "LeaseRenewal",
    "PlatformTask",
    "UsageReport",
    "UsageView",
    "act_id",
]

_NO_LEASE_END_S = 1e12


class ActKind(StrEnum):
    """Kinds of acts on an instance or a task."""

    DRAIN = "drain"
    RESUME = "resume"
    REBOOT = "reboot"
    RELEASE = "release"
    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"
    STOP = "stop"


def act_id(target: str, order: int) -> str:
    """Return the id of the act of one folded step.

    Examples
    --------
    >>> from almondstack.provider import act_id
    >>> act_id("u1", 42)
    'u1@42'
    """
    return f"{target}@{order}"


class Act(msgspec.Struct, frozen=True, kw_only=True):
    """One thing to do.

    Parameters
    ----------
    id : str
        The same for every repetition of the act.
    target : str
        Instance or task.
    kind : ActKind
        What to do.
    order : int
        Offset of the step that it belongs to.
    pool : str
        For a resumption, the pool that the instance returns to.
    expires_s : float
        End of the lease under which it is sent, in seconds on the platform's clock.
    """

    id: str
    target: str
    kind: ActKind
    order: int
    pool: str = ""
    expires_s: float = _NO_LEASE_END_S


class ActStatus(msgspec.Struct, frozen=True, kw_only=True):
    """What became of an act.

    Parameters
    ----------
    id : str
        Id of the act.
    is_done : bool
        True once it took effect; False while it goes on.
    is_failed : bool
        True if it can't take effect any more.
    at_s : float
        When this became so, in seconds on the platform's clock.
    """

    id: str
    is_done: bool
    is_failed: bool = False
    at_s: float = 0.0


class UsageReport(msgspec.Struct, frozen=True, kw_only=True):
    """What one instance did some time ago.

    Parameters
    ----------
    instance : str
        The instance.
    as_of_s : float
        When this was so, in seconds on the platform's clock.
    running : int
        Requests and tasks that ran there.
    is_healthy : bool
        True if it answered the platform and its work did not all fail.
    is_draining : bool
        True if it refused new work.
    """

    instance: str
    as_of_s: float
    running: int
    is_healthy: bool = True
    is_draining: bool = False


class UsageView(msgspec.Struct, frozen=True, kw_only=True):
    """All reports, and the platform's clock when it answered, in seconds."""

    now_s: float
    reports: tuple[UsageReport, ...] = ()


class PlatformTask(msgspec.Struct, frozen=True, kw_only=True):
    """A task that the platform runs on an instance under a lease.

    Parameters
    ----------
    id, instance, team : str
        The task, where it runs and for whom.
    is_idempotent : bool
        True if it may be stopped and run again.
    can_checkpoint : bool
        True if it can go on from where it was stopped.
    slots : int
        Slots that it holds.
    lease_until_s : float
        End of its lease, in seconds on the platform's clock.
    """

    id: str
    instance: str
    team: str
    is_idempotent: bool = False
    can_checkpoint: bool = False
    slots: int = 1
    lease_until_s: float = 0.0


class LeaseRenewal(msgspec.Struct, frozen=True, kw_only=True):
    """A wish to hold the lease of a task for ``duration_s`` seconds more."""

    holder: str
    duration_s: float
