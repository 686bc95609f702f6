"""Selects the HTTP headers that are forwarded to the next hop.

Explanation
-----------
Hop-by-hop headers are not forwarded (RFC 9110, section 7.6.1), nor are the
product's own headers and the caller's key.
"""

from collections.abc import Iterable

__all__ = ["end_to_end_headers"]

_HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_CONSUMED_HERE = frozenset({"authorization", "idempotency-key"})
_PRODUCT_PREFIX = "almondstack-"


def end_to_end_headers(pairs: Iterable[tuple[str, str]]) -> tuple[tuple[str, str], ...]:
    """Return the headers that are forwarded to the next hop.

    Examples
    --------
    >>> from almondstack.dispatch import end_to_end_headers
    >>> end_to_end_headers([("Connection", "x-a"), ("X-A", "1"), ("Accept", "*/*")])
    (('Accept', '*/*'),)
    """
    pairs = list(pairs)
    listed = _listed_in_connection(pairs)
    return tuple((name, value) for name, value in pairs if _passes(name.lower(), listed))


def _listed_in_connection(pairs: list[tuple[str, str]]) -> frozenset[str]:
    values = [value for name, value in pairs if name.lower() == "connection"]
    return frozenset(item.strip().lower() for value in values for item in value.split(","))


def _passes(name: str, listed: frozenset[str]) -> bool:
    if name in _HOP_BY_HOP or name in _CONSUMED_HERE or name in listed:
        return False
    return not name.startswith(_PRODUCT_PREFIX)
