"""Log records of phase changes, moves and removals of upstream instances."""

import msgspec

from almondstack.model.records import register_record
from almondstack.model.state import InstancePhase

__all__ = ["InstanceMoved", "InstanceObserved", "InstanceRemoved", "InstanceStepped"]


@register_record("instance-stepped")
class InstanceStepped(msgspec.Struct, frozen=True):
    """A planned step of an instance to its next phase.

    Parameters
    ----------
    instance : str
        Name of the instance.
    version : int
        Version of the instance that the step was planned from.
    phase : InstancePhase
        New phase of the instance.
    cause : str
        Reason of the step, for ``almondctl explain``.
    wave : str or None
        For a drain, the maintenance wave that it is part of.
    target_pool : str or None
        For a drain before a move, the pool that will own the instance.
    is_stalled : bool
        For the return from a drain, True if the drain was cancelled because
        the instance did not become empty.
    """

    instance: str
    version: int
    phase: InstancePhase
    cause: str = ""
    wave: str | None = None
    target_pool: str | None = None
    is_stalled: bool = False


@register_record("instance-moved")
class InstanceMoved(msgspec.Struct, frozen=True):
    """Transfers a drained instance to another pool."""

    instance: str
    version: int
    pool: str
    cause: str = ""


@register_record("instance-observed")
class InstanceObserved(msgspec.Struct, frozen=True):
    """An unplanned phase change, reported by the platform or inferred from the traffic."""

    instance: str
    version: int
    phase: InstancePhase
    evidence: str = ""


@register_record("instance-removed")
class InstanceRemoved(msgspec.Struct, frozen=True):
    """Removes a withdrawn instance that is drained, failed, unseen or leaving."""

    instance: str
    version: int
    cause: str = ""
