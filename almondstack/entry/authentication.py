"""Which team a request speaks for."""

from almondstack.core import (
    CodecError,
    Reason,
    RequestError,
    hash_secret,
    is_same_digest,
    split_key,
)
from almondstack.model import FleetState, Queue, Team

__all__ = ["authenticate", "authorize"]

_SCHEME = "bearer"
_NO_DIGEST = "0" * 64


def authenticate(state: FleetState, authorization: str) -> Team:
    """Return the team whose key came with a request.

    Parameters
    ----------
    state : FleetState
        The folded state.
    authorization : str
        Value of the ``Authorization`` header (RFC 6750, section 2.1).

    Raises
    ------
    RequestError
        The key is missing, unknown or revoked.
    """
    scheme, _, token = authorization.partition(" ")
    if scheme.lower() != _SCHEME or not token:
        raise RequestError(Reason.KEY_MISSING)
    try:
        key_id, secret = split_key(token.strip())
    except CodecError as error:
        raise RequestError(Reason.KEY_UNKNOWN) from error
    if key_id in state.revoked:
        raise RequestError(Reason.KEY_REVOKED)
    key = state.keys.get(key_id)
    is_right = is_same_digest(hash_secret(secret), key.digest if key else _NO_DIGEST)
    team = state.teams.get(key.team) if key else None
    if team is None or not is_right:
        raise RequestError(Reason.KEY_UNKNOWN)
    return team


def authorize(state: FleetState, queue: Queue, authorization: str) -> Team:
    """Return the team that a request to ``queue`` is charged to.

    Raises
    ------
    RequestError
        The key does not hold, or its team may not use the queue.
    """
    if queue.is_open and not authorization:
        return state.teams[queue.open_team or ""]
    team = authenticate(state, authorization)
    if queue.teams and team.name not in queue.teams:
        raise RequestError(Reason.TEAM_NOT_ALLOWED)
    return team
