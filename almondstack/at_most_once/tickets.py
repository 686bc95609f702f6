"""Tickets: request ids that only the issuing incarnation may start.

Explanation
-----------
A ticket lets a non-idempotent request run at most once while the log is
unavailable.  It contains the name of the issuing incarnation and an HMAC (RFC
2104) with a secret that never leaves that process, so the issuer stores nothing
until the ticket is redeemed.  After the process has ended, no other process can
verify the ticket, so its request cannot run a second time.
"""

import base64
import binascii
import hashlib
import hmac
import itertools
import secrets
import threading
from collections import deque

import msgspec

from almondstack.at_most_once.settings import OnceSettings
from almondstack.core import (
    Clock,
    CodecError,
    Reason,
    RequestError,
    decode_msgpack,
    encode_msgpack,
)

__all__ = ["Ticket", "TicketIssuer", "is_ticket", "parse_ticket"]

_PREFIX = "t1."
_SECRET_BYTES = 32
_DIGEST_BYTES = 16


class Ticket(msgspec.Struct, frozen=True, array_like=True):
    """Contents of a ticket.

    Parameters
    ----------
    incarnation : str
        The only incarnation that may start its request.
    team : str
        Team that it was issued to.
    serial : int
        Serial number within the incarnation.
    expires_ms : int
        Expiry time on the monotonic clock of the incarnation, in milliseconds.
    """

    incarnation: str
    team: str
    serial: int
    expires_ms: int


def is_ticket(request_id: str) -> bool:
    """Return True if an idempotency key has the form of a ticket."""
    return request_id.startswith(_PREFIX)


def parse_ticket(text: str) -> Ticket:
    """Decode a ticket without checking its HMAC.

    Raises
    ------
    RequestError
        The ticket is malformed.
    """
    try:
        data = base64.urlsafe_b64decode(text.removeprefix(_PREFIX).encode("ascii"))
        return decode_msgpack(data[:-_DIGEST_BYTES], Ticket)
    except (CodecError, ValueError, binascii.Error) as error:
        raise RequestError(Reason.ID_MALFORMED) from error


class TicketIssuer:
    """Issues tickets and lets each be redeemed once.

    Parameters
    ----------
    incarnation : str
        Name of the incarnation that issues the tickets.
    settings : OnceSettings
        Lifetime of tickets.
    clock : Clock
        Measures the lifetime.

    Examples
    --------
    >>> from almondstack.core import SystemClock
    >>> from almondstack.at_most_once import OnceSettings, TicketIssuer
    >>> issuer = TicketIssuer("entry-1~00", OnceSettings(), SystemClock())
    >>> ticket = issuer.issue("north", 1)[0]
    >>> issuer.redeem(ticket, "north").serial
    1
    """

    __slots__ = (
        "_clock",
        "_incarnation",
        "_lock",
        "_secret",
        "_serials",
        "_settings",
        "_used",
        "_used_in_order",
    )

    def __init__(self, incarnation: str, settings: OnceSettings, clock: Clock) -> None:
        self._incarnation = incarnation
        self._settings = settings
        self._clock = clock
        self._secret = secrets.token_bytes(_SECRET_BYTES)
        self._serials = itertools.count(1)
        self._lock = threading.Lock()
        self._used: set[int] = set()
        self._used_in_order: deque[tuple[int, int]] = deque()

    @property
    def incarnation(self) -> str:
        """Name of the incarnation that issues the tickets."""
        return self._incarnation

    @property
    def used_count(self) -> int:
        """Number of redeemed tickets that are stored until they expire."""
        return len(self._used)

    def issue(self, team: str, count: int) -> list[str]:
        """Return ``count`` new tickets."""
        expires_ms = self._now_ms() + int(self._settings.ticket_life_s * 1000)
        return [self._encode(team, expires_ms) for _ in range(count)]

    def redeem(self, text: str, team: str) -> Ticket:
        """Verify a ticket and mark it as redeemed.

        Raises
        ------
        RequestError
            The ticket is forged, of another incarnation or team, expired, or redeemed
            already.
        """
        ticket = self._verify(text, team)
        with self._lock:
            self._drop_expired()
            if ticket.serial in self._used:
                raise RequestError(Reason.ID_CLAIMED)
            self._used.add(ticket.serial)
            self._used_in_order.append((ticket.expires_ms, ticket.serial))
        return ticket

    def release(self, ticket: Ticket) -> None:
        """Allow a ticket to be redeemed again; its request has not run and never will."""
        with self._lock:
            self._used.discard(ticket.serial)

    def _verify(self, text: str, team: str) -> Ticket:
        ticket = parse_ticket(text)
        is_genuine = hmac.compare_digest(self._sign(ticket).encode(), text.encode())
        if not is_genuine or ticket.incarnation != self._incarnation:
            raise RequestError(Reason.ID_MALFORMED)
        if ticket.team != team:
            raise RequestError(Reason.TICKET_FOREIGN)
        if ticket.expires_ms <= self._now_ms():
            raise RequestError(Reason.ID_TOO_OLD)
        return ticket

    def _encode(self, team: str, expires_ms: int) -> str:
        return self._sign(Ticket(self._incarnation, team, next(self._serials), expires_ms))

    def _sign(self, ticket: Ticket) -> str:
        data = encode_msgpack(ticket)
        digest = hmac.digest(self._secret, data, hashlib.sha256)[:_DIGEST_BYTES]
        return _PREFIX + base64.urlsafe_b64encode(data + digest).decode("ascii")

    def _drop_expired(self) -> None:
        now_ms = self._now_ms()
        while self._used_in_order and self._used_in_order[0][0] <= now_ms:
            self._used.discard(self._used_in_order.popleft()[1])

    def _now_ms(self) -> int:
        return int(self._clock.monotonic() * 1000)
