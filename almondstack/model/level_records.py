"""Records by which the format level is raised."""

import msgspec

from almondstack.model.records import register_record

__all__ = ["LevelRaised"]


@register_record("level-raised")
class LevelRaised(msgspec.Struct, frozen=True):
    """Brings the kinds of ``level`` into force.

    Explanation
    -----------
    Refused unless ``level`` is the next one and every live entry supports it.
    """

    level: int
