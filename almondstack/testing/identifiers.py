"""Request ids with a given creation time."""

import uuid

__all__ = ["make_request_id"]

_VERSION_AND_VARIANT = (0x7 << 76) | (0b10 << 62)


def make_request_id(created_s: float, number: int) -> str:
    """Return the UUIDv7 created at Unix time ``created_s`` with random part ``number``."""
    return str(uuid.UUID(int=(int(created_s * 1000) << 80) | _VERSION_AND_VARIANT | number))
