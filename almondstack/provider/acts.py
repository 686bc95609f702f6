"""Acts that the platform performs on instances and tasks, and its usage reports.

Explanation
-----------
The id of an act is derived from the folded step to which it belongs, so every
keeper that executes the step sends the same id, and the platform performs the
act once.  Two more conditions prevent a keeper that was paused for long from
executing an outdated step: the platform rejects an act whose order is below that
of an act it performed on the same target (a fencing token, Kleppmann 2016), and
an act that arrives after its lease has expired.
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

_NO_EXPIRY_S = 1e12


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
    """Return the id of the act of the folded step ``order`` on ``target``.

    Examples
    --------
    >>> from almondstack.provider import act_id
    >>> act_id("u1", 42)
    'u1@42'
    """
    return f"{target}@{order}"


class Act(msgspec.Struct, frozen=True, kw_only=True):
    """One operation on an instance or a task.

    Parameters
    ----------
    id : str
        The same for every repetition of the act.
    target : str
        Name of the instance or id of the task.
    kind : ActKind
        Kind of operation.
    order : int
        Offset of the step to which the act belongs; serves as fencing token.
    pool : str
        For :attr:`ActKind.RESUME`, the pool to which the instance returns.
    expires_s : float
        End of the lease under which the act is sent, in seconds on the platform's clock.
    """

    id: str
    target: str
    kind: ActKind
    order: int
    pool: str = ""
    expires_s: float = _NO_EXPIRY_S


class ActStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Progress of an act.

    Parameters
    ----------
    id : str
        Id of the act.
    is_done : bool
        True once the act took effect; False while it is in progress.
    is_failed : bool
        True if the act can no longer take effect.
    at_s : float
        Time at which the act reached this status, in seconds on the platform's clock.
    """

    id: str
    is_done: bool
    is_failed: bool = False
    at_s: float = 0.0


class UsageReport(msgspec.Struct, frozen=True, kw_only=True):
    """State of one instance as the platform last observed it.

    Parameters
    ----------
    instance : str
        Name of the instance.
    as_of_s : float
        Time of the observation, in seconds on the platform's clock.
    running : int
        Number of requests and tasks that ran on the instance.
    is_healthy : bool
        True if the instance answered the platform and not all of its work failed.
    is_draining : bool
        True if the instance refused new work.
    """

    instance: str
    as_of_s: float
    running: int
    is_healthy: bool = True
    is_draining: bool = False


class UsageView(msgspec.Struct, frozen=True, kw_only=True):
    """All usage reports, and the platform's clock at the time of its answer, in seconds."""

    now_s: float
    reports: tuple[UsageReport, ...] = ()


class PlatformTask(msgspec.Struct, frozen=True, kw_only=True):
    """A task that the platform runs on an instance under a lease.

    Parameters
    ----------
    id, instance, team : str
        Id of the task, the instance that runs it and the team that owns it.
    is_idempotent : bool
        True if the task may be stopped and run again.
    can_checkpoint : bool
        True if the task can resume from a checkpoint.
    slots : int
        Number of slots that the task occupies.
    lease_until_s : float
        End of the task's lease, in seconds on the platform's clock.
    """

    id: str
    instance: str
    team: str
    is_idempotent: bool = False
    can_checkpoint: bool = False
    slots: int = 1
    lease_until_s: float = 0.0


class LeaseRenewal(msgspec.Struct, frozen=True, kw_only=True):
    """Request to hold the lease of a task for ``duration_s`` more seconds."""

    holder: str
    duration_s: float
