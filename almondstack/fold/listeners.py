"""Notification that the fold passes to its listeners after each step."""

from collections.abc import Callable
from typing import Any

import msgspec

from almondstack.fold.refusals import Verdict

__all__ = ["FoldDelta", "FoldListener"]


class FoldDelta(msgspec.Struct, frozen=True):
    """One step of the fold: a record applied or a snapshot installed.

    Parameters
    ----------
    next_offset : int
        Offset of the next record to fold.
    verdict : Verdict or None
        Verdict on the record; None if a snapshot was installed, which may
        change any part of the state.
    body : object
        Body of the record; None if it was not decoded.
    """

    next_offset: int
    verdict: Verdict | None = None
    body: Any = None

    @property
    def is_installed(self) -> bool:
        """True if a snapshot was installed."""
        return self.verdict is None


FoldListener = Callable[[FoldDelta], None]
