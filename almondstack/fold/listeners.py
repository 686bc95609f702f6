"""What listeners of the fold are told."""

from collections.abc import Callable
from typing import Any

import msgspec

from almondstack.fold.refusals import Verdict

__all__ = ["FoldDelta", "FoldListener"]


class FoldDelta(msgspec.Struct, frozen=True):
    """One step of the fold.

    Parameters
    ----------
    next_offset : int
        Offset of the next record to fold.
    verdict : Verdict or None
        Verdict on the record; None if a snapshot was installed, after which
        anything may have changed.
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
