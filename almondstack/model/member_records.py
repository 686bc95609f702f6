"""Records of the life of entry incarnations."""

import msgspec

from almondstack.model.records import FORMAT_LEVEL, register_record

__all__ = ["EntryFenced", "EntryJoined", "EntryLeft"]


@register_record("entry-joined")
class EntryJoined(msgspec.Struct, frozen=True):
    """An entry incarnation that wants to serve."""

    incarnation: str
    name: str
    zone: str
    region: str
    address: str
    peer_address: str
    level: int = FORMAT_LEVEL


@register_record("entry-left")
class EntryLeft(msgspec.Struct, frozen=True):
    """An incarnation that ended gracefully, with nothing running."""

    incarnation: str


@register_record("entry-fenced")
class EntryFenced(msgspec.Struct, frozen=True):
    """An incarnation that must start nothing more.

    Parameters
    ----------
    incarnation : str
        The incarnation.
    evidence : str
        Why it is held to be gone, for ``almondctl explain``.
    """

    incarnation: str
    evidence: str
