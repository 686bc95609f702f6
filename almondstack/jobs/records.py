"""Records of jobs in the store: their keys and their encoding.

Explanation
-----------
A key is one letter for the kind and the job's id; the record of a wave has its
number instead, that of an order to an instance the instance's name, and the
owner's nothing.
A refusal has no value, so that the store keeps nothing of it: only those hear
of it who read on, which is all that it is for.
The value of a progress record is that of :mod:`almondstack.jobs.progress`.
"""

from enum import StrEnum

import msgspec

from almondstack.jobs.errors import RecordError
from almondstack.jobs.model import Submission

__all__ = [
    "OwnerNotice",
    "RecordKind",
    "decode_notice",
    "decode_submission",
    "encode_notice",
    "encode_submission",
    "record_key",
    "split_key",
]


class RecordKind(StrEnum):
    """What a record says; the first letter of its key."""

    SUBMISSION = "j"
    CANCEL = "c"
    PROGRESS = "p"
    OWNER = "o"
    REFUSAL = "r"
    WAVE = "w"
    INSTANCE = "i"


class OwnerNotice(msgspec.Struct, frozen=True, array_like=True):
    """What the owner tells all processes.

    Parameters
    ----------
    owner : str
        Incarnation of the owning process; empty when it has given back.
    token : int
        Its fencing token.
    address : str
        Where the owner's process listens for as long as it lives.
    waits_ms : dict of str to int
        How long new work would wait, in milliseconds, by pool and client account.
    cores : float
        Speed of the owner's processor, in cores; 0 if it does not say.
    requests_address : str
        Where the owner takes what callers ask of other processes; empty if it takes none.
    standby : str
        Incarnation of the process that should own the jobs next; empty if any.
    configuration : int
        Version of the configuration that the owner goes by.
    """

    owner: str
    token: int
    address: str = ""
    waits_ms: dict[str, int] = {}
    cores: float = 0.0
    requests_address: str = ""
    standby: str = ""
    configuration: int = 0


_FORMAT = b"\x02"
"""Progress is that of :mod:`almondstack.jobs.progress`; before, there was no such byte."""

_submissions = msgspec.msgpack.Decoder(Submission)
_notices = msgspec.msgpack.Decoder(OwnerNotice)
_encoder = msgspec.msgpack.Encoder()


def record_key(kind: RecordKind, job: str = "") -> str:
    """Return the key of a record."""
    return kind.value + job


def split_key(key: str) -> tuple[RecordKind, str]:
    """Return the kind and the job of a key.

    Raises
    ------
    RecordError
        The key is of no kind that is known here.
    """
    try:
        return RecordKind(key[:1]), key[1:]
    except ValueError as error:
        raise RecordError(f"unknown key {key[:20]!r}") from error


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


def encode_notice(notice: OwnerNotice) -> bytes:
    """Return the value of the owner's record.

    Explanation
    -----------
    It begins with the format of the records that this owner writes.  Versions
    that know no formats pass such a notice over and can't own the jobs after it:
    they could not read what runs, would stop it, and forget its ends.
    """
    return _FORMAT + _encoder.encode(notice)


def decode_notice(value: bytes) -> OwnerNotice:
    """Return the owner's notice.

    Raises
    ------
    RecordError
        The value does not decode.
    """
    return _decode(_notices, value.removeprefix(_FORMAT))


def _decode(decoder, value: bytes):
    try:
        return decoder.decode(value)
    except msgspec.MsgspecError as error:
        raise RecordError(str(error)) from error
