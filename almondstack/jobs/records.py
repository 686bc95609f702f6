"""Keys and encoding of the records in the store.

Explanation
-----------
A key is one letter for the kind of record, followed by the job's id, the number of
a wave, or the name of the instance to which an order is given.  The order of a
maintenance is recorded under two kinds; builds before the second one skip it.  The key of the
owner's record is the letter alone.
A refusal record has no value, so the store keeps nothing of it after it was read:
only the processes that are reading the log at that time need it.
:mod:`almondstack.jobs.progress` encodes the value of a progress record.
"""

from enum import StrEnum

import msgspec

from almondstack.core import CodecError, decode_with
from almondstack.jobs.errors import RecordError
from almondstack.jobs.model import Submission

__all__ = [
    "OwnerNotice",
    "RecordKind",
    "decode_notice",
    "decode_submission",
    "encode_notice",
    "encode_submission",
    "has_ranges",
    "record_key",
    "split_key",
]


class RecordKind(StrEnum):
    """Kind of a record: the first letter of its key."""

    SUBMISSION = "j"
    CANCEL = "c"
    PROGRESS = "p"
    OWNER = "o"
    REFUSAL = "r"
    WAVE = "w"
    INSTANCE = "i"
    MAINTENANCE = "m"


class OwnerNotice(msgspec.Struct, frozen=True, array_like=True):
    """The owner's notice to all processes.

    Parameters
    ----------
    owner : str
        Incarnation of the owning process; empty after it has stepped down.
    token : int
        Its fencing token.
    address : str
        Address on which the owner's process listens until it ends.
    waits_ms : dict of str to int
        How long new work would wait, in milliseconds, by pool and client account.
    cores : float
        Speed of the owner's processor, in cores; 0 if not reported.
    requests_address : str
        Address to which other processes forward their callers' requests; empty if the
        owner accepts none.
    standby : str
        Incarnation of the process that should own the jobs next; empty if any may.
    configuration : int
        Version of the configuration that the owner uses.
    entitled_millis : dict of str to int or None
        Thousandths of a core to which an account is entitled, for each account with a wait whose
        demand is beyond that; None if the notice says nothing of admission, as a claim and a
        release do.
    written_unix_ms : int
        Unix time of writing in milliseconds, by the owner's clock; 0 if not reported.
    """

    owner: str
    token: int
    address: str = ""
    waits_ms: dict[str, int] = {}
    cores: float = 0.0
    requests_address: str = ""
    standby: str = ""
    configuration: int = 0
    entitled_millis: dict[str, int] | None = None
    written_unix_ms: int = 0


_FORMAT = b"\x02"
"""First byte of a notice: progress records are in the format of :mod:`almondstack.jobs.progress`.
Notices of earlier versions have no format byte."""

_RANGED_FORMAT = b"\x03"
"""First byte of a notice: progress records may be in the ranged form as well.  Builds without that
form can't read the notice, and so can't own the jobs after it."""

_submissions = msgspec.msgpack.Decoder(Submission)
_notices = msgspec.msgpack.Decoder(OwnerNotice)
_encoder = msgspec.msgpack.Encoder()


def record_key(kind: RecordKind, job: str = "") -> str:
    """Return the key of a record."""
    return kind.value + job


def split_key(key: str) -> tuple[RecordKind, str]:
    """Return the kind of a key, and the job, wave or instance that follows it.

    Raises
    ------
    RecordError
        The kind is unknown to this version.
    """
    try:
        return RecordKind(key[:1]), key[1:]
    except ValueError as error:
        raise RecordError(f"record key {key[:20]!r} is of no known kind") from error


def encode_submission(submission: Submission) -> bytes:
    """Return the value of a submission's record."""
    return _encoder.encode(submission)


def decode_submission(value: bytes) -> Submission:
    """Return a submission.

    Raises
    ------
    RecordError
        The value does not decode.
    """
    return _decode(_submissions, value)


def encode_notice(notice: OwnerNotice, *, has_ranges: bool = False) -> bytes:
    """Return the value of the owner's record.

    Parameters
    ----------
    notice : OwnerNotice
        The notice.
    has_ranges : bool
        Whether this owner may write progress records in the ranged form.

    Explanation
    -----------
    The value begins with the format of the records that this owner writes.  Versions
    without formats skip such a notice and so can't become owner after it: they could
    not read which tasks run, would stop them, and would lose the ends of their runs.
    """
    return (_RANGED_FORMAT if has_ranges else _FORMAT) + _encoder.encode(notice)


def has_ranges(value: bytes) -> bool:
    """Return whether the owner of a notice may write progress records in the ranged form."""
    return value.startswith(_RANGED_FORMAT)


def decode_notice(value: bytes) -> OwnerNotice:
    """Return the owner's notice.

    Raises
    ------
    RecordError
        The value does not decode.
    """
    has_format = value.startswith((_FORMAT, _RANGED_FORMAT))
    return _decode(_notices, value[1:] if has_format else value)


def _decode(decoder, value: bytes):
    try:
        return decode_with(decoder, value)
    except CodecError as error:
        raise RecordError(str(error)) from error
