"""Reads the document that an operator hands over."""

import json
from pathlib import Path

from almondstack.core import CodecError, decode_json
from almondstack.ctl.errors import DocumentError
from almondstack.model import FleetState, ReleaseNote
from almondstack.note import KINDS, DesiredConfig, config_tables, derive_note

__all__ = ["Document", "note_of", "read_document"]

Document = ReleaseNote | DesiredConfig


def read_document(path: str) -> Document:
    """Return the release note or the desired configuration in a JSON file.

    Explanation
    -----------
    A document that names a kind at its top, such as ``pools``, is a desired
    configuration.

    Raises
    ------
    DocumentError
        The text names the path to the fault.
    """
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise DocumentError(f"{path}: {error.strerror}") from error
    try:
        if _is_desired(data):
            return decode_json(data, DesiredConfig)
        return decode_json(data, ReleaseNote)
    except CodecError as error:
        raise DocumentError(f"{path}: {error.detail}") from error


def note_of(document: Document, state: FleetState) -> ReleaseNote:
    """Return the note that leads from ``state`` to what the document asks for."""
    if isinstance(document, ReleaseNote):
        return document
    return derive_note(config_tables(state), document)


def _is_desired(data: bytes) -> bool:
    try:
        top = json.loads(data)
    except ValueError as error:
        raise CodecError(f"not JSON: {error}") from error
    return isinstance(top, dict) and any(kind in top for kind in KINDS)
