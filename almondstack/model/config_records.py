"""Log records with which operators change the configuration."""

import msgspec

from almondstack.model.config import Key
from almondstack.model.note import ReleaseNote
from almondstack.model.records import register_record

__all__ = ["KeyGranted", "KeyRevoked", "ReleaseApplied"]


@register_record("release-applied")
class ReleaseApplied(msgspec.Struct, frozen=True):
    """A release note; refused unless the configuration is at ``base_revision``."""

    base_revision: int
    note: ReleaseNote
    operator: str = ""


@register_record("key-granted")
class KeyGranted(msgspec.Struct, frozen=True):
    """A new key of a team; refused if the team does not exist."""

    key: Key


@register_record("key-revoked")
class KeyRevoked(msgspec.Struct, frozen=True):
    """Revocation of a key; always accepted, and a revoked id can never be granted again."""

    key_id: str
