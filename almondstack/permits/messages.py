"""Messages by which entries request and transfer permits.

Explanation
-----------
Transfers are sent as cumulative totals per ordered pair of incarnations and
resource, so a lost, repeated or late message can only delay permits.
"""

import msgspec

from almondstack.model import PermitCount

__all__ = ["PermitRequest", "TransferTotals", "TransferTotalsAck"]


class PermitRequest(msgspec.Struct, frozen=True, array_like=True, tag="pa"):
    """Request for permits; each count is the number of further permits the sender needs."""

    items: tuple[PermitCount, ...]


class TransferTotals(msgspec.Struct, frozen=True, array_like=True, tag="pt"):
    """Total number of permits ever transferred from sender to receiver, by resource."""

    items: tuple[PermitCount, ...]


class TransferTotalsAck(msgspec.Struct, frozen=True, array_like=True, tag="ps"):
    """Acknowledges the totals that the sender has received from the receiver."""

    items: tuple[PermitCount, ...]
