"""Request ids made at a chosen time."""

import uuid

__all__ = ["make_request_id"]

_VERSION_AND_VARIANT = (0x7 << 76) | (0b10 << 62)


def make_request_id(created_s: float, number: int) -> str:
    """Return the UUIDv7 made at ``created_s`` seconds since 1970 with random part ``number``."""
    return str(uuid.UUID(int=(int(created_s * 1000) << 80) | _VERSION_AND_VARIANT | number))
