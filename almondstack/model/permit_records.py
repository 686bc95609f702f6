"""Records of permits: drawn, returned, settled.

Explanation
-----------
The author of each is the incarnation whose permits it is about, except for
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
    """Totals that the author gave to, and received from, the ended incarnation."""

    resource: str
    given: int
    received: int


@register_record("permits-drawn")
class PermitsDrawn(msgspec.Struct, frozen=True):
    """A wish for permits; the author gets at most what is unallocated."""

    items: tuple[PermitCount, ...]


@register_record("permits-returned")
class PermitsReturned(msgspec.Struct, frozen=True):
    """Permits that the author no longer holds."""

    items: tuple[PermitCount, ...]


@register_record("permits-settled")
class PermitsSettled(msgspec.Struct, frozen=True):
    """The author's final transfer totals with an incarnation that is not live."""

    incarnation: str
    items: tuple[SettledCount, ...]


@register_record("entry-ended")
class EntryEnded(msgspec.Struct, frozen=True):
    """All that a fenced incarnation started has surely ended.

    Parameters
    ----------
    incarnation : str
        The incarnation.
    evidence : str
        How that is known, for ``almondctl explain``.
    """

    incarnation: str
    evidence: str
