"""Selects records by the configured object they concern, and prints them without key digests."""

from functools import singledispatch
from typing import Any

import msgspec

from almondstack.core import encode_json
from almondstack.fold import subject_of
from almondstack.model import Configured, Key, KeyGranted, ReleaseApplied
from almondstack.release_note import KINDS
from almondstack.release_note.merge import name_of

__all__ = ["is_about", "redacted_json"]

_REDACTED_DIGEST = "0" * 64


@singledispatch
def is_about(body: object, kind: str, name: str) -> bool:
    """Return True if a record's body concerns the object ``name`` of ``kind``.

    A release note concerns each object that it adds, changes or withdraws, and always
    ``config``.
    """
    return body is not None and subject_of(body) == f"{kind}/{name}"


@is_about.register
def _(body: ReleaseApplied, kind: str, name: str) -> bool:
    if kind == "config":
        return True
    plural = f"{kind}s"
    if plural not in KINDS:
        return False
    note = body.note
    objects = (*getattr(note.added, plural), *getattr(note.changed, plural))
    return name in {name_of(item) for item in objects} or name in getattr(note.withdrawn, plural)


def redacted_json(body: Any) -> str:
    """Return a record's body as JSON, with the digests of keys replaced by zeros."""
    return encode_json(_redacted(body)).decode()


@singledispatch
def _redacted(body: Any) -> Any:
    return body


@_redacted.register
def _(body: KeyGranted) -> KeyGranted:
    return KeyGranted(_redacted_key(body.key))


@_redacted.register
def _(body: ReleaseApplied) -> ReleaseApplied:
    note = msgspec.structs.replace(
        body.note,
        added=_with_redacted_keys(body.note.added),
        changed=_with_redacted_keys(body.note.changed),
    )
    return msgspec.structs.replace(body, note=note)


def _with_redacted_keys(configured: Configured) -> Configured:
    return msgspec.structs.replace(configured, keys=tuple(map(_redacted_key, configured.keys)))


def _redacted_key(key: Key) -> Key:
    return msgspec.structs.replace(key, digest=_REDACTED_DIGEST)
