"""Grants the right to run a request once, by its request id or ticket."""

from typing import Protocol

from almondstack.at_most_once.claims import ClaimManager
from almondstack.at_most_once.records import Claim
from almondstack.at_most_once.tickets import Ticket, TicketIssuer, is_ticket

__all__ = ["Hold", "OnceGuard"]


class Hold(Protocol):
    """The right to run one request once."""

    def release(self) -> None:
        """Release the id: the request has not run and never will."""
        ...

    def finish(self) -> None:
        """Keep the id claimed: the request has run, or may have."""
        ...


class _NoHold:
    __slots__ = ()

    def release(self) -> None:
        """Do nothing."""

    def finish(self) -> None:
        """Do nothing."""


class _ClaimHold:
    __slots__ = ("_claim", "_source")

    def __init__(self, source: ClaimManager, claim: Claim) -> None:
        self._source = source
        self._claim = claim

    def release(self) -> None:
        """Release the claim in the log."""
        self._source.release(self._claim)

    def finish(self) -> None:
        """Keep the claim in the log."""
        self._source.finish(self._claim)


class _TicketHold:
    __slots__ = ("_source", "_ticket")

    def __init__(self, source: TicketIssuer, ticket: Ticket) -> None:
        self._source = source
        self._ticket = ticket

    def release(self) -> None:
        """Allow the ticket to be redeemed again."""
        self._source.release(self._ticket)

    def finish(self) -> None:
        """Keep the ticket redeemed."""


class OnceGuard:
    """Grants the right to run a request at most once.

    Parameters
    ----------
    claims : ClaimManager
        Claims UUIDs in the log.
    tickets : TicketIssuer
        Verifies tickets of this incarnation.
    """

    __slots__ = ("_claims", "_tickets")

    def __init__(self, claims: ClaimManager, tickets: TicketIssuer) -> None:
        self._claims = claims
        self._tickets = tickets

    @property
    def claims(self) -> ClaimManager:
        """Claims of request ids in the log."""
        return self._claims

    @property
    def tickets(self) -> TicketIssuer:
        """Tickets of this incarnation."""
        return self._tickets

    def hold(self, team: str, request_id: str | None, is_idempotent: bool) -> Hold:
        """Return the right to run a request.

        Explanation
        -----------
        A request without an id runs once each time it is received.  An idempotent
        request may run again, so its id needs no claim.  A ticket is always redeemed,
        since only the entry that issued it may start its request.

        Raises
        ------
        RequestError
            The id is malformed, out of its time window or in use, or cannot be checked.
        """
        if request_id is None:
            return _NoHold()
        if is_ticket(request_id):
            return _TicketHold(self._tickets, self._tickets.redeem(request_id, team))
        if is_idempotent:
            return _NoHold()
        return _ClaimHold(self._claims, self._claims.acquire(team, request_id))
