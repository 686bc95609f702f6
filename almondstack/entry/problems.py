"""Builds problem details responses for callers (RFC 9457)."""

from http.client import responses

from almondstack.core import RequestError, encode_json, reason_info

__all__ = ["problem_body", "problem_headers", "status_line"]

_UNAUTHORIZED = 401


def status_line(status: int) -> str:
    """Return the status code with its reason phrase.

    Examples
    --------
    >>> from almondstack.entry.problems import status_line
    >>> status_line(404)
    '404 Not Found'
    """
    return f"{status} {responses.get(status, 'Status')}"


def problem_body(error: RequestError) -> bytes:
    """Return the ``application/problem+json`` body of a refusal."""
    return encode_json(
        {
            "type": f"urn:almondstack:reason:{error.reason.value}",
            "title": reason_info(error.reason).title,
            "status": error.status,
            "detail": error.detail,
            "outcome": error.outcome.value,
        }
    )


def problem_headers(error: RequestError, body: bytes) -> list[tuple[str, str]]:
    """Return the headers of a refusal whose body is that of :func:`problem_body`."""
    headers = [
        ("Content-Type", "application/problem+json"),
        ("Content-Length", str(len(body))),
        ("Almondstack-Outcome", error.outcome.value),
        ("Almondstack-Reason", error.reason.value),
    ]
    if error.retry_after_s is not None:
        headers.append(("Retry-After", str(error.retry_after_s)))
    if error.status == _UNAUTHORIZED:
        headers.append(("WWW-Authenticate", "Bearer"))
    return headers
