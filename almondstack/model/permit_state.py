"""State of permits as folded from the log.

Explanation
-----------
The log records how many permits each incarnation has drawn and returned.
Transfers between incarnations are not in the log, so the count of an
incarnation that returned permits received from others can be negative; only the
sum over all incarnations is bounded.
"""

import msgspec

__all__ = ["PermitAccount", "Settlement"]


class PermitAccount(msgspec.Struct, frozen=True):
    """Permits of one resource that are allocated to incarnations.

    Parameters
    ----------
    drawn : dict of str to int
        By incarnation, permits drawn minus permits returned, adjusted by
        settlements.
    """

    drawn: dict[str, int] = msgspec.field(default_factory=dict)

    @property
    def total(self) -> int:
        """Number of permits allocated to all incarnations together."""
        return sum(self.drawn.values())


class Settlement(msgspec.Struct, frozen=True):
    """Progress of the settlement with an incarnation that is no longer live.

    Parameters
    ----------
    waiting : tuple of str
        Incarnations that were live when it ended and have not yet reported
        their transfers to and from it.
    is_ended : bool
        True if all requests that it started are certain to have ended.
    """

    waiting: tuple[str, ...]
    is_ended: bool = False
