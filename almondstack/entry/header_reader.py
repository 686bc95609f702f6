"""Strict parser of HTTP header fields (RFC 9112, sections 5 and 6).

Explanation
-----------
Rejects fields that two implementations could interpret differently, as in
request smuggling: folded lines, space before the colon, repeated framing
fields, underscores in names, a length next to a transfer coding.
"""

import re

from cheroot.server import HeaderReader

__all__ = ["StrictHeaderReader"]

_FIELD_NAME = re.compile(rb"[A-Za-z0-9!#$%&'*+.^`|~-]+")
_FORBIDDEN_BYTE = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
_CONTENT_LENGTH = re.compile(rb"[0-9]{1,18}")
_MAX_FIELDS = 128
_CRLF = b"\r\n"

_SINGLE_FIELDS = frozenset(
    {b"Authorization", b"Content-Length", b"Host", b"Idempotency-Key", b"Transfer-Encoding"}
)


class StrictHeaderReader(HeaderReader):
    """Reads the header fields of a request into a dictionary.

    Raises
    ------
    ValueError
        The fields are malformed or ambiguous.
    """

    def __call__(
        self, rfile: object, hdict: dict[bytes, bytes] | None = None
    ) -> dict[bytes, bytes]:
        """Read and return the fields up to the empty line."""
        fields: dict[bytes, bytes] = {} if hdict is None else hdict
        for _ in range(_MAX_FIELDS + 1):
            line = rfile.readline()  # type: ignore[attr-defined]
            if line == _CRLF:
                _check_framing(fields)
                return fields
            _add_field(fields, line)
        raise ValueError("Too many header fields.")


def _add_field(fields: dict[bytes, bytes], line: bytes) -> None:
    if not line.endswith(_CRLF):
        raise ValueError("A header line does not end with CRLF.")
    name, separator, value = line[:-2].partition(b":")
    value = value.strip(b" \t")
    if not separator or not _FIELD_NAME.fullmatch(name):
        raise ValueError("A header name is malformed.")
    if _FORBIDDEN_BYTE.search(value):
        raise ValueError("A header value is malformed.")
    name = name.title()
    if name in fields:
        if name in _SINGLE_FIELDS or name.startswith(b"Almondstack-"):
            raise ValueError("A header that may stand once is repeated.")
        value = fields[name] + b", " + value
    fields[name] = value


def _check_framing(fields: dict[bytes, bytes]) -> None:
    length = fields.get(b"Content-Length")
    coding = fields.get(b"Transfer-Encoding")
    if length is not None and not _CONTENT_LENGTH.fullmatch(length):
        raise ValueError("Content-Length is malformed.")
    if coding is None:
        return
    if length is not None:
        raise ValueError("Content-Length stands next to Transfer-Encoding.")
    if coding.lower() != b"chunked":
        raise ValueError("Transfer-Encoding must be chunked.")
