"""Reads the document that an operator hands over."""

from pathlib import Path

from almondstack.core import AlmondError, CodecError, decode_json
from almondstack.model import ReleaseNote

__all__ = ["DocumentError", "read_note"]


class DocumentError(AlmondError):
    """The document cannot be read or is no release note."""

    code = "document"


def read_note(path: str) -> ReleaseNote:
    """Return the release note in a JSON file.

    Raises
    ------
    DocumentError
        The file cannot be read or is no release note; the text names the path to the fault.
    """
    try:
        return decode_json(Path(path).read_bytes(), ReleaseNote)
    except OSError as error:
        raise DocumentError(f"{path}: {error.strerror}") from error
    except CodecError as error:
        raise DocumentError(f"{path}: {error.detail}") from error
