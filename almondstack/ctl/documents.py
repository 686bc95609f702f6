"""Reads release notes and desired configurations from JSON files."""

import json
from pathlib import Path

from almondstack.core import CodecError, decode_json
from almondstack.ctl.errors import DocumentError
from almondstack.model import FleetState, ReleaseNote
from almondstack.release_note import KINDS, DesiredConfig, config_tables, derive_note

__all__ = ["Document", "release_note_for", "read_document"]

Document = ReleaseNote | DesiredConfig


def read_document(path: str) -> Document:
    """Return the release note or the desired configuration in a JSON file.

    Explanation
    -----------
    A document with a kind such as ``pools`` as a top-level key is a desired
    configuration; any other is a release note.

    Raises
    ------
    DocumentError
        The file cannot be read or is not valid; the message names the file and the fault.
    """
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        raise DocumentError(f"{path}: {error.strerror}") from error
    try:
        if _is_desired_config(data):
            return decode_json(data, DesiredConfig)
        return decode_json(data, ReleaseNote)
    except CodecError as error:
        raise DocumentError(f"{path}: {error.detail}") from error


def release_note_for(document: Document, state: FleetState) -> ReleaseNote:
    """Return the release note that changes ``state`` to what the document describes."""
    if isinstance(document, ReleaseNote):
        return document
    return derive_note(config_tables(state), document)


def _is_desired_config(data: bytes) -> bool:
    try:
        top = json.loads(data)
    except ValueError as error:
        raise CodecError(f"not JSON: {error}") from error
    return isinstance(top, dict) and any(kind in top for kind in KINDS)
