"""Records by which operators change the configuration."""

import msgspec

from almondstack.model.config import Key
from almondstack.model.note import ReleaseNote
from almondstack.model.records import register_record

__all__ = ["KeyGranted", "KeyRevoked", "ReleaseApplied"]


@register_record("release-applied")
class ReleaseApplied(msgspec.Struct, frozen=True):
    """A release note, valid only upon the revision it was planned from."""

    base_revision: int
    note: ReleaseNote
    operator: str = ""


@register_record("key-granted")
class KeyGranted(msgspec.Struct, frozen=True):
    """A new key of a team; refused if the team does not stand."""

    key: Key


@register_record("key-revoked")
class KeyRevoked(msgspec.Struct, frozen=True):
    """The end of a key; unconditional, and a revoked id never works again."""

    key_id: str
