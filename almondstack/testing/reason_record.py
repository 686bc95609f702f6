"""Records which reasons product code raised while the tests ran.

Explanation
-----------
Only errors raised by product code count, not those that a test creates.  At the
end of a full test run, the root ``conftest.py`` compares the record with all
reasons and fails if one was never raised.
"""

import sys
from pathlib import Path
from typing import Any

from almondstack.core import LocalMetrics, Reason, RequestError, RetryReason
from almondstack.core.reasons import Outcome

__all__ = ["ReasonRecord"]

_TEST_FOLDERS = ("tests", "testing", "standin", "bench")
_RETRIED = "retried."


class ReasonRecord:
    """Set of the reasons and retry reasons that product code raised.

    Examples
    --------
    >>> from almondstack.testing.reason_record import ReasonRecord
    >>> "internal" in ReasonRecord().missing()
    True
    """

    def __init__(self) -> None:
        self._recorded: set[str] = set()

    def install(self) -> None:
        """Patch ``RequestError`` and ``LocalMetrics`` to record reasons until the process exits."""
        make_error = RequestError.__init__
        count = LocalMetrics.count
        recorded = self._recorded

        def recording_init(
            error: RequestError,
            reason: Reason,
            detail: str = "",
            outcome: Outcome | None = None,
            retry_after_s: int | None = None,
        ) -> None:
            make_error(error, reason, detail, outcome, retry_after_s)
            if _is_product(sys._getframe(1).f_code.co_filename):
                recorded.add(reason.value)

        def recording_count(metrics: LocalMetrics, name: str, amount: int = 1) -> None:
            count(metrics, name, amount)
            if name.startswith(_RETRIED):
                recorded.add(name)

        error_type: Any = RequestError
        error_type.__init__ = recording_init
        metrics_type: Any = LocalMetrics
        metrics_type.count = recording_count

    def missing(self) -> list[str]:
        """Return the codes that product code has not raised."""
        codes = {reason.value for reason in Reason}
        codes |= {_RETRIED + reason.value for reason in RetryReason}
        return sorted(codes - self._recorded)


def _is_product(file: str) -> bool:
    parts = Path(file).parts
    return "almondstack" in parts and not any(folder in parts for folder in _TEST_FOLDERS)
