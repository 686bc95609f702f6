"""Log record that raises the format level."""

import msgspec

from almondstack.model.records import register_record

__all__ = ["LevelRaised"]


@register_record("level-raised")
class LevelRaised(msgspec.Struct, frozen=True):
    """Allows the record kinds of ``level`` from the next offset on.

    Explanation
    -----------
    Refused unless ``level`` is the next level and every live entry supports it.
    """

    level: int
