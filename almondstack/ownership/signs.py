"""Records by which others see that the owner lives."""

from almondstack.jobs import RecordError, RecordKind
from almondstack.jobs.records import split_key
from almondstack.ownership.ports import Record

__all__ = ["is_owner_sign"]


def is_owner_sign(record: Record) -> bool:
    """Whether only an owner writes such a record; submissions and cancels come from all.

    Examples
    --------
    >>> is_owner_sign(Record("o", b"notice")), is_owner_sign(Record("j01", b"job"))
    (True, False)
    """
    try:
        kind, _ = split_key(record.key)
    except RecordError:
        return False
    return kind in (RecordKind.PROGRESS, RecordKind.OWNER)
