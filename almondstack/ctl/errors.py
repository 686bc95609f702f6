"""Exceptions raised by the commands of ``almondctl``."""

from almondstack.core import AlmondError

__all__ = ["DocumentError", "RecordRefusedError"]


class DocumentError(AlmondError):
    """An argument or file given by the operator cannot be read or written, or is malformed."""

    code = "document"


class RecordRefusedError(AlmondError):
    """A record was appended to the log but refused when it was folded."""

    code = "record-refused"
