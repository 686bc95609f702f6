"""Authenticates requests by key and authorizes their teams for queues."""

from almondstack.core import (
    CodecError,
    Reason,
    RequestError,
    hash_secret,
    is_same_digest,
    split_key,
)
from almondstack.entry.contract import Revocations
from almondstack.fold import Fold
from almondstack.model import Queue, Team

__all__ = ["Authenticator"]

_SCHEME = "bearer"
_NO_DIGEST = "0" * 64


class Authenticator:
    """Checks keys against the state in the log and the revocations received since.

    Parameters
    ----------
    fold : Fold
        State built from the log, with teams, keys and queues.
    revocations : Revocations
        Revocations that apply before the log confirms them.
    """

    __slots__ = ("_fold", "_revocations")

    def __init__(self, fold: Fold, revocations: Revocations) -> None:
        self._fold = fold
        self._revocations = revocations

    def authenticate(self, authorization: str) -> Team:
        """Return the team of the key that a request carries.

        Parameters
        ----------
        authorization : str
            Value of the ``Authorization`` header (RFC 6750, section 2.1).

        Raises
        ------
        RequestError
            The key is missing, unknown or revoked.
        """
        state = self._fold.state
        key_id, secret = _read_key(authorization)
        if key_id in state.revoked or self._revocations.is_revoked(key_id):
            raise RequestError(Reason.KEY_REVOKED)
        key = state.keys.get(key_id)
        is_right = is_same_digest(hash_secret(secret), key.digest if key else _NO_DIGEST)
        team = state.teams.get(key.team) if key else None
        if team is None or not is_right:
            raise RequestError(Reason.KEY_UNKNOWN)
        return team

    def authorize(self, queue: Queue, authorization: str) -> Team:
        """Return the team to which a request to ``queue`` is charged.

        Raises
        ------
        RequestError
            The key is missing or invalid, or its team may not use the queue.
        """
        if queue.is_open and not authorization:
            return self._open_team(queue)
        team = self.authenticate(authorization)
        if queue.teams and team.name not in queue.teams:
            raise RequestError(Reason.TEAM_NOT_ALLOWED)
        return team

    def _open_team(self, queue: Queue) -> Team:
        team = self._fold.state.teams.get(queue.open_team or "")
        if team is None:
            raise RequestError(Reason.TEAM_NOT_ALLOWED)
        return team


def _read_key(authorization: str) -> tuple[str, str]:
    scheme, _, token = authorization.partition(" ")
    if scheme.lower() != _SCHEME or not token.strip():
        raise RequestError(Reason.KEY_MISSING)
    try:
        return split_key(token.strip())
    except CodecError as error:
        raise RequestError(Reason.KEY_UNKNOWN) from error
