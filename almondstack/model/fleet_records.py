"""Records of what happens to upstream instances."""

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
        The instance.
    version : int
        Version of the instance that the step was planned from.
    phase : InstancePhase
        The phase it goes to.
    cause : str
        Why, for ``almondctl explain``.
    wave : str or None
        For a drain, the maintenance wave that it belongs to.
    target_pool : str or None
        For a drain that ends in a move, the pool it goes to.
    is_stalled : bool
        For the return from a drain, True if the instance did not get empty.
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
    """A drained instance changes its owner."""

    instance: str
    version: int
    pool: str
    cause: str = ""


@register_record("instance-observed")
class InstanceObserved(msgspec.Struct, frozen=True):
    """An unplanned change that the platform or the traffic showed."""

    instance: str
    version: int
    phase: InstancePhase
    evidence: str = ""


@register_record("instance-removed")
class InstanceRemoved(msgspec.Struct, frozen=True):
    """A withdrawn instance that is drained, or gone by itself, disappears."""

    instance: str
    version: int
    cause: str = ""
