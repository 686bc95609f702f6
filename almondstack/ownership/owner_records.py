"""Identifies the records that only the owner writes, which show that the owner is alive."""

from almondstack.jobs import RecordError, RecordKind
from almondstack.jobs.records import split_key
from almondstack.ownership.ports import Record

__all__ = ["is_written_by_owner"]


def is_written_by_owner(record: Record) -> bool:
    """Whether only the owner writes such records; any process writes submissions and cancels.

    Examples
    --------
    >>> is_written_by_owner(Record("o", b"notice")), is_written_by_owner(Record("j01", b"job"))
    (True, False)
    """
    try:
        kind, _ = split_key(record.key)
    except RecordError:
        return False
    return kind in (RecordKind.PROGRESS, RecordKind.OWNER)
