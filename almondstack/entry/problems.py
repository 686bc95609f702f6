"""Problem details for callers (RFC 9457)."""

from almondstack.core import RequestError, encode_json, reason_info

__all__ = ["problem_body", "problem_headers", "status_line"]

_PHRASES = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    409: "Conflict",
    413: "Content Too Large",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


def status_line(status: int) -> str:
    """Return the status with its phrase, as WSGI wants it."""
    return f"{status} {_PHRASES.get(status, 'Status')}"


def problem_body(error: RequestError) -> bytes:
    """Return the body of ``application/problem+json``."""
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
    """Return the headers that go with :func:`problem_body`."""
    headers = [
        ("Content-Type", "application/problem+json"),
        ("Content-Length", str(len(body))),
        ("Almondstack-Outcome", error.outcome.value),
        ("Almondstack-Reason", error.reason.value),
    ]
    if error.retry_after_s is not None:
        headers.append(("Retry-After", str(error.retry_after_s)))
    if error.status == 401:
        headers.append(("WWW-Authenticate", "Bearer"))
    return headers
