"""Probes which process listens at a status address, and its contact with the store."""

from typing import NamedTuple

import urllib3
from urllib3.exceptions import HTTPError, NewConnectionError

__all__ = [
    "CONTACT_HEADER",
    "INCARNATION_HEADER",
    "NOT_LISTENING",
    "TURNED_AWAY_HEADER",
    "Liveness",
    "probe_liveness",
]

INCARNATION_HEADER = "X-Incarnation"
CONTACT_HEADER = "X-Store-Contact-Age"
"""Seconds since the store last answered a read of the process."""

TURNED_AWAY_HEADER = "X-Store-Turned-Away"
"""Seconds for which the store has rejected all appends of the process as the owner."""

_LONG_AGO_S = 3600.0


class Liveness(NamedTuple):
    """Answer of a process to a liveness probe.

    Parameters
    ----------
    incarnation : str
        Unique name of the process.
    contact_age_s : float
        Seconds since the store last answered a read of the process.
    turned_away_s : float
        Seconds for which the store has rejected all appends of the process as the owner.
    """

    incarnation: str
    contact_age_s: float
    turned_away_s: float = 0.0


NOT_LISTENING = Liveness("", _LONG_AGO_S)
"""Result for an address at which no process listens."""


def probe_liveness(address: str, timeout_s: float) -> Liveness | None:
    """Return which process answers at a status address, or None if that is unknown.

    Explanation
    -----------
    A refused connection shows that the instance is up and that no process listens at the
    address; the result is then ``NOT_LISTENING``.  A time-out shows nothing about the
    process, since the network between may be partitioned.
    """
    url = f"http://{address}/"
    try:
        response = urllib3.request("GET", url, timeout=timeout_s, retries=False, redirect=False)
    except NewConnectionError as error:
        return NOT_LISTENING if isinstance(error.__cause__, ConnectionRefusedError) else None
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
