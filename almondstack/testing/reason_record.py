"""Records which reasons the product gave while the tests ran.

Explanation
-----------
Only errors made by product code count; one that a test makes itself proves
nothing.  The root ``conftest.py`` compares the record with all reasons at the
end of a whole run.
"""

import sys
from pathlib import Path
from typing import Any

from almondstack.core import NullMetrics, Reason, RequestError, RetryReason
from almondstack.core.reasons import Outcome

__all__ = ["ReasonRecord"]

_TEST_FOLDERS = ("tests", "testing", "standin", "bench")
_RETRIED = "retried."


class ReasonRecord:
    """Reasons and retry reasons that product code gave.

    Examples
    --------
    >>> from almondstack.testing.reason_record import ReasonRecord
    >>> "internal" in ReasonRecord().missing()
    True
    """

    def __init__(self) -> None:
        self._given: set[str] = set()

    def install(self) -> None:
        """Record from now on, for the rest of the process."""
        make_error = RequestError.__init__
        count = NullMetrics.count
        given = self._given

        def recording_init(
            error: RequestError,
            reason: Reason,
            detail: str = "",
            outcome: Outcome | None = None,
            retry_after_s: int | None = None,
        ) -> None:
            make_error(error, reason, detail, outcome, retry_after_s)
            if _is_product(sys._getframe(1).f_code.co_filename):
                given.add(reason.value)

        def recording_count(metrics: NullMetrics, name: str, amount: int = 1) -> None:
            count(metrics, name, amount)
            if name.startswith(_RETRIED):
                given.add(name)

        error_type: Any = RequestError
        error_type.__init__ = recording_init
        metrics_type: Any = NullMetrics
        metrics_type.count = recording_count

    def missing(self) -> list[str]:
        """Return the codes that product code never gave."""
        wanted = {reason.value for reason in Reason}
        wanted |= {_RETRIED + reason.value for reason in RetryReason}
        return sorted(wanted - self._given)


def _is_product(file: str) -> bool:
    parts = Path(file).parts
    return "almondstack" in parts and not any(folder in parts for folder in _TEST_FOLDERS)
