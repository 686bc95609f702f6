"""Maintenance waves as operators start them and as the log has them."""

from enum import StrEnum
from typing import Annotated

import msgspec
from msgspec import Meta

from almondstack.core import Name

__all__ = ["WavePhase", "WaveSpec", "WaveState"]

_MOST_WINDOW_S = 366 * 86_400


class WavePhase(StrEnum):
    """Phase in the life of a wave."""

    RUNNING = "running"
    PAUSED = "paused"
    STOPPED = "stopped"
    ABORTED = "aborted"
    ENDED = "ended"


class WaveSpec(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A wave as an operator starts it.

    Parameters
    ----------
    name : str
        Name of the wave; never used twice.
    pools : tuple of str
        Pools whose instances are rebooted; empty means every pool.
    started_s : float
        Start of the window, in seconds since 1970.
    window_s : float
        The starts of the drains are spread over this time, in seconds; 0 means
        as fast as the budgets allow.
    failure_threshold : int
        The wave stops itself once so many of its instances failed on return.
    """

    name: Name
    pools: tuple[Name, ...] = ()
    started_s: float = 0.0
    window_s: Annotated[float, Meta(ge=0, le=_MOST_WINDOW_S)] = 0.0
    failure_threshold: Annotated[int, Meta(ge=1, le=1_000_000)] = 2


class WaveState(msgspec.Struct, frozen=True, kw_only=True):
    """A wave as the log has it.

    Parameters
    ----------
    spec : WaveSpec
        What was started.
    members : tuple of str
        The instances that belong to it, fixed when it started.
    phase : WavePhase
        Where it is in its life.
    version : int
        Offset of the last record that changed its phase.
    started_offset : int
        Offset of its start.
    done : dict of str to int
        Instances that serve again, with the offset of that step.
    set_aside : dict of str to str
        Instances that it gave up, with the reason.
    return_failures : int
        How many instances failed between their reboot and serving again.
    reason : str
        Why it is in this phase.
    """

    spec: WaveSpec
    members: tuple[str, ...]
    phase: WavePhase = WavePhase.RUNNING
    version: int = 0
    started_offset: int = 0
    done: dict[str, int] = msgspec.field(default_factory=dict)
    set_aside: dict[str, str] = msgspec.field(default_factory=dict)
    return_failures: int = 0
    reason: str = ""

    @property
    def name(self) -> str:
        """Name of the wave."""
        return self.spec.name

    @property
    def is_running(self) -> bool:
        """True if it may begin to drain instances."""
        return self.phase is WavePhase.RUNNING

    @property
    def is_open(self) -> bool:
        """True if instances in its hands may go on to their reboot."""
        return self.phase in (WavePhase.RUNNING, WavePhase.PAUSED)

    @property
    def waiting(self) -> tuple[str, ...]:
        """Members that are neither done nor set aside."""
        gone = self.done.keys() | self.set_aside.keys()
        return tuple(name for name in self.members if name not in gone)
