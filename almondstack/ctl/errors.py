"""Failures of the operators' program."""

from almondstack.core import AlmondError

__all__ = ["DocumentError", "RecordRefusedError"]


class DocumentError(AlmondError):
    """What the operator handed over cannot be read or is malformed."""

    code = "document"


class RecordRefusedError(AlmondError):
    """The log took the record, and the fold refused it."""

    code = "record-refused"
