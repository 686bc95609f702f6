"""The table of reasons in docs/reasons.md matches the code."""

import re
from pathlib import Path

from almondstack.core import Reason, RetryReason, reason_info

PAGE = Path(__file__).parents[3] / "docs" / "reasons.md"
ROW = re.compile(r"^\| `([a-z-]+)` \| (\d+) \| ([a-z-]+) \| (\d+|-) \| ([^|]+) \|", re.MULTILINE)
RETRY_ROW = re.compile(r"^\| `([a-z-]+)` \| [^|]+ \|$", re.MULTILINE)


def test_page_lists_each_reason_as_the_code_has_it():
    rows = {row[0]: row[1:] for row in ROW.findall(PAGE.read_text())}
    expected = {}
    for reason in Reason:
        info = reason_info(reason)
        retry_after = "-" if info.retry_after_s is None else str(info.retry_after_s)
        expected[reason.value] = (str(info.status), info.outcome.value, retry_after, info.title)
    assert {code: tuple(cell.strip() for cell in row) for code, row in rows.items()} == expected


def test_page_lists_each_retry_reason():
    codes = RETRY_ROW.findall(PAGE.read_text())
    assert codes == [reason.value for reason in RetryReason]


def test_titles_are_one_sentence():
    for reason in Reason:
        assert re.fullmatch(r"[A-Z][^.]*\.", reason_info(reason).title)
