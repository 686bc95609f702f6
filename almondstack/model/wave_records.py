"""Records of the life of maintenance waves.

Explanation
-----------
Operators start, pause, resume and abort a wave; a keeper sets single instances
aside and ends it.  Each change names the version of the wave that it was
decided from, so that of two operators who race only one is taken.
"""

import msgspec

from almondstack.model.records import register_record
from almondstack.model.waves import WavePhase, WaveSpec

__all__ = ["WaveChanged", "WaveSetAside", "WaveStarted"]


@register_record("wave-started")
class WaveStarted(msgspec.Struct, frozen=True):
    """A wave begins; refused while another open wave has an instance in common."""

    spec: WaveSpec
    operator: str = ""


@register_record("wave-changed")
class WaveChanged(msgspec.Struct, frozen=True):
    """A wave is paused, resumed, aborted or ended.

    Parameters
    ----------
    wave : str
        The wave.
    version : int
        Version of the wave that the change was decided from.
    phase : WavePhase
        The phase it goes to.
    reason : str
        Why, for ``almondctl explain``.
    """

    wave: str
    version: int
    phase: WavePhase
    reason: str = ""


@register_record("wave-set-aside")
class WaveSetAside(msgspec.Struct, frozen=True):
    """A wave gives up one instance; its reason is kept."""

    wave: str
    instance: str
    reason: str
