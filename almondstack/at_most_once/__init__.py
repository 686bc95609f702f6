"""At-most-once execution of requests, by claims of request ids in the log and by tickets."""

from almondstack.at_most_once.claims import ClaimManager
from almondstack.at_most_once.follower import ClaimFollower
from almondstack.at_most_once.guard import Hold, OnceGuard
from almondstack.at_most_once.records import Claim, ClaimBatch, ClaimKey, claim_key
from almondstack.at_most_once.service import OnceService
from almondstack.at_most_once.settings import OnceSettings
from almondstack.at_most_once.table import ClaimOwner, ClaimTable
from almondstack.at_most_once.tickets import Ticket, TicketIssuer, is_ticket, parse_ticket

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
