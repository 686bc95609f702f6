"""Which process lives at a status address, and how it does."""

from typing import NamedTuple

import urllib3
from urllib3.exceptions import HTTPError, NewConnectionError

__all__ = [
    "CONTACT_HEADER",
    "INCARNATION_HEADER",
    "Liveness",
    "NOBODY",
    "TURNED_AWAY_HEADER",
    "ask_liveness",
]

INCARNATION_HEADER = "X-Incarnation"
CONTACT_HEADER = "X-Store-Contact-Age"
"""Seconds since the process last heard the store."""

TURNED_AWAY_HEADER = "X-Store-Turned-Away"
"""Seconds for which the store has refused all that the process writes as the owner."""

_LONG_AGO_S = 3600.0


class Liveness(NamedTuple):
    """How a process does.

    Parameters
    ----------
    incarnation : str
        Names it.
    contact_age_s : float
        Seconds since it last heard the store.
    turned_away_s : float
        Seconds for which the store has refused all that it writes as the owner.
    """

    incarnation: str
    contact_age_s: float
    turned_away_s: float = 0.0


NOBODY = Liveness("", _LONG_AGO_S)
"""What an instance at which nothing listens is said to run."""


def ask_liveness(address: str, timeout_s: float) -> Liveness | None:
    """Return who answers at a status address, or None if that is not known.

    Explanation
    -----------
    A refused connection comes from an instance that is up and runs nothing
    there.  Silence says nothing: the way may be cut.
    """
    url = f"http://{address}/"
    try:
        response = urllib3.request("GET", url, timeout=timeout_s, retries=False, redirect=False)
    except NewConnectionError as error:
        return NOBODY if isinstance(error.__cause__, ConnectionRefusedError) else None
    except HTTPError:
        return None
    incarnation = response.headers.get(INCARNATION_HEADER)
    if incarnation is None:
        return None
    return Liveness(
        incarnation,
        _seconds(response.headers.get(CONTACT_HEADER), _LONG_AGO_S),
        _seconds(response.headers.get(TURNED_AWAY_HEADER), 0.0),
    )


def _seconds(text: str | None, unknown_s: float) -> float:
    try:
        return float(text) if text else unknown_s
    except ValueError:
        return unknown_s
