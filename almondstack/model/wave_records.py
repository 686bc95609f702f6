"""Log records of maintenance waves.

Explanation
-----------
Operators start, pause, resume and abort a wave; a keeper sets single instances
aside and ends the wave.  Each change names the version of the wave that it is
based on, so that of two concurrent changes only one is accepted.
"""

import msgspec

from almondstack.model.records import register_record
from almondstack.model.waves import WavePhase, WaveSpec

__all__ = ["WaveChanged", "WaveSetAside", "WaveStarted"]


@register_record("wave-started")
class WaveStarted(msgspec.Struct, frozen=True):
    """Starts a wave; refused while an unfinished wave waits for one of its instances."""

    spec: WaveSpec
    operator: str = ""


@register_record("wave-changed")
class WaveChanged(msgspec.Struct, frozen=True):
    """A wave is paused, resumed, aborted or ended.

    Parameters
    ----------
    wave : str
        Name of the wave.
    version : int
        Version of the wave that the change is based on.
    phase : WavePhase
        New phase of the wave.
    reason : str
        Reason of the change, for ``almondctl explain``.
    """

    wave: str
    version: int
    phase: WavePhase
    reason: str = ""


@register_record("wave-set-aside")
class WaveSetAside(msgspec.Struct, frozen=True):
    """Excludes one instance from a wave and records the reason."""

    wave: str
    instance: str
    reason: str
