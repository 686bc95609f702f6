"""At-most-once execution of requests, by claims of request ids in the log and by tickets."""

from almondstack.once.claims import ClaimManager
from almondstack.once.follower import ClaimFollower
from almondstack.once.guard import Hold, OnceGuard
from almondstack.once.records import Claim, ClaimBatch, ClaimKey, claim_key
from almondstack.once.service import OnceService
from almondstack.once.settings import OnceSettings
from almondstack.once.table import ClaimOwner, ClaimTable
from almondstack.once.tickets import Ticket, TicketIssuer, is_ticket, parse_ticket

__all__ = [
    "Claim",
    "ClaimBatch",
    "ClaimFollower",
    "ClaimKey",
    "ClaimManager",
    "ClaimOwner",
    "ClaimTable",
    "Hold",
    "OnceGuard",
    "OnceService",
    "OnceSettings",
    "Ticket",
    "TicketIssuer",
    "claim_key",
    "is_ticket",
    "parse_ticket",
]
