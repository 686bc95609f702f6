"""Log records of permits that are drawn, returned and settled.

Explanation
-----------
The author of each record is the incarnation whose permits change, except for
:class:`EntryEnded`, which any live process may write.
"""

import msgspec

from almondstack.model.records import register_record

__all__ = [
    "EntryEnded",
    "PermitCount",
    "PermitsDrawn",
    "PermitsReturned",
    "PermitsSettled",
    "SettledCount",
]


class PermitCount(msgspec.Struct, frozen=True, array_like=True):
    """A number of permits of one resource."""

    resource: str
    count: int


class SettledCount(msgspec.Struct, frozen=True, array_like=True):
    """Total numbers of permits transferred to and received from the ended incarnation."""

    resource: str
    given: int
    received: int


@register_record("permits-drawn")
class PermitsDrawn(msgspec.Struct, frozen=True):
    """Request for permits; the author gets at most the unallocated ones."""

    items: tuple[PermitCount, ...]


@register_record("permits-returned")
class PermitsReturned(msgspec.Struct, frozen=True):
    """Permits that the author no longer holds."""

    items: tuple[PermitCount, ...]


@register_record("permits-settled")
class PermitsSettled(msgspec.Struct, frozen=True):
    """Final totals of the author's transfers to and from an incarnation that is not live."""

    incarnation: str
    items: tuple[SettledCount, ...]


@register_record("entry-ended")
class EntryEnded(msgspec.Struct, frozen=True):
    """All requests that a fenced incarnation started are certain to have ended.

    Parameters
    ----------
    incarnation : str
        The fenced incarnation.
    evidence : str
        Evidence that they have ended, for ``almondctl explain``.
    """

    incarnation: str
    evidence: str
