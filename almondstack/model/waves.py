"""Maintenance waves: specification by the operator and state folded from the log."""

from enum import StrEnum
from typing import Annotated

import msgspec
from msgspec import Meta

from almondstack.core import Name

__all__ = ["WavePhase", "WaveSpec", "WaveState"]

_MAX_WINDOW_S = 366 * 86_400


class WavePhase(StrEnum):
    """Lifecycle phase of a wave."""

    RUNNING = "running"
    PAUSED = "paused"
    STOPPED = "stopped"
    ABORTED = "aborted"
    ENDED = "ended"


class WaveSpec(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Specification with which an operator starts a wave.

    Parameters
    ----------
    name : str
        Name of the wave; must not be reused.
    pools : tuple of str
        Pools whose instances are rebooted; empty means every pool.
    started_s : float
        Start of the window, as Unix time in seconds.
    window_s : float
        Time over which the starts of the drains are spread, in seconds; 0 means
        as fast as the availability budgets allow.
    failure_threshold : int
        The wave stops once this many of its instances have failed on return.
    """

    name: Name
    pools: tuple[Name, ...] = ()
    started_s: float = 0.0
    window_s: Annotated[float, Meta(ge=0, le=_MAX_WINDOW_S)] = 0.0
    failure_threshold: Annotated[int, Meta(ge=1, le=1_000_000)] = 2


class WaveState(msgspec.Struct, frozen=True, kw_only=True):
    """State of a wave as folded from the log.

    Parameters
    ----------
    spec : WaveSpec
        Specification of the wave.
    members : tuple of str
        Names of its instances, fixed when it started.
    phase : WavePhase
        Current phase.
    version : int
        Offset of the last record that changed its phase.
    started_offset : int
        Offset of the record that started it.
    done : dict of str to int
        Instances that serve again after their reboot, with the offset of that
        step.
    set_aside : dict of str to str
        Instances excluded from the wave, with the reason.
    return_failures : int
        Number of instances that failed during their reboot or between it and
        serving again.
    reason : str
        Why the wave is in this phase.
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
        """True if the wave may start to drain further instances."""
        return self.phase is WavePhase.RUNNING

    @property
    def is_open(self) -> bool:
        """True if instances drained for the wave may be rebooted."""
        return self.phase in (WavePhase.RUNNING, WavePhase.PAUSED)

    @property
    def waiting(self) -> tuple[str, ...]:
        """Members that are neither done nor set aside."""
        finished = self.done.keys() | self.set_aside.keys()
        return tuple(name for name in self.members if name not in finished)
