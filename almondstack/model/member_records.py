"""Log records of the membership of entry incarnations."""

import msgspec

from almondstack.model.records import FORMAT_LEVEL, register_record

__all__ = ["EntryFenced", "EntryJoined", "EntryLeft"]


@register_record("entry-joined")
class EntryJoined(msgspec.Struct, frozen=True):
    """An entry incarnation joins the fleet."""

    incarnation: str
    name: str
    zone: str
    region: str
    address: str
    peer_address: str
    level: int = FORMAT_LEVEL


@register_record("entry-left")
class EntryLeft(msgspec.Struct, frozen=True):
    """An incarnation shut down gracefully, with no request running."""

    incarnation: str


@register_record("entry-fenced")
class EntryFenced(msgspec.Struct, frozen=True):
    """Fences an incarnation: it must not start any further request.

    Parameters
    ----------
    incarnation : str
        Incarnation that is fenced.
    evidence : str
        Why it is considered failed, for ``almondctl explain``.
    """

    incarnation: str
    evidence: str
