"""Which process lives at an address."""

import urllib3
from urllib3.exceptions import HTTPError, NewConnectionError

__all__ = ["NOBODY", "ask_incarnation"]

NOBODY = ""
"""What an instance at which nothing listens is said to run."""


def ask_incarnation(address: str, timeout_s: float) -> str | None:
    """Return the incarnation that answers at a status address, or None if that is not known.

    Explanation
    -----------
    A refused connection comes from an instance that is up and runs nothing
    there.  Silence says nothing: the way may be cut.
    """
    url = f"http://{address}/"
    try:
        response = urllib3.request("GET", url, timeout=timeout_s, retries=False, redirect=False)
    except NewConnectionError as error:
        return NOBODY if _is_refusal(error) else None
    except HTTPError:
        return None
    return response.headers.get("X-Incarnation")


def _is_refusal(error: NewConnectionError) -> bool:
    return isinstance(error.__cause__, ConnectionRefusedError)
