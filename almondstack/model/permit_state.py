"""What the log knows of permits.

Explanation
-----------
The log knows what each incarnation has drawn, less what it returned.  Transfers
between incarnations are not in the log, so an incarnation that received more
than it drew and returned them stands below zero here; only the sum over all
incarnations is bounded.
"""

import msgspec

__all__ = ["PermitAccount", "Settlement"]


class PermitAccount(msgspec.Struct, frozen=True):
    """Permits of one resource that left the pool of unallocated ones.

    Parameters
    ----------
    drawn : dict of str to int
        By incarnation: drawn, less returned, corrected by settlements.
    """

    drawn: dict[str, int] = msgspec.field(default_factory=dict)

    @property
    def total(self) -> int:
        """Permits that exist outside the pool of unallocated ones."""
        return sum(self.drawn.values())


class Settlement(msgspec.Struct, frozen=True):
    """What is still open about an incarnation that is no longer live.

    Parameters
    ----------
    waiting : tuple of str
        Incarnations that were live at its end and have not yet said what they
        transferred to it and from it.
    is_ended : bool
        True if all that it started has surely ended.
    """

    waiting: tuple[str, ...]
    is_ended: bool = False
