"""Messages about permits between entries.

Explanation
-----------
Transfers are cumulative totals per ordered pair of incarnations and resource,
so a message that is lost, repeated or late changes nothing but the time at
which permits arrive.
"""

import msgspec

from almondstack.model import PermitCount

__all__ = ["PermitRequest", "TransferTotals", "TransferTotalsAck"]


class PermitRequest(msgspec.Struct, frozen=True, array_like=True, tag="pa"):
    """A wish for permits; each count is how many more the sender could use."""

    items: tuple[PermitCount, ...]


class TransferTotals(msgspec.Struct, frozen=True, array_like=True, tag="pt"):
    """All that the sender ever gave to the receiver, by resource."""

    items: tuple[PermitCount, ...]


class TransferTotalsAck(msgspec.Struct, frozen=True, array_like=True, tag="ps"):
    """Totals that the sender has taken from the receiver."""

    items: tuple[PermitCount, ...]
