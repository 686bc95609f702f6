import pytest

from almondstack.at_most_once import OnceSettings, TicketIssuer, parse_ticket
from almondstack.core import Reason, RequestError
from almondstack.testing.clocks import ManualClock

SETTINGS = OnceSettings(ticket_life_s=100.0)


def make_issuer(incarnation: str = "entry-1~00") -> tuple[TicketIssuer, ManualClock]:
    clock = ManualClock()
    return TicketIssuer(incarnation, SETTINGS, clock), clock


def refused(issuer: TicketIssuer, text: str, team: str = "north") -> Reason:
    with pytest.raises(RequestError) as caught:
        issuer.redeem(text, team)
    return caught.value.reason


def test_ticket_is_redeemed_only_once():
    issuer, _ = make_issuer()
    ticket = issuer.issue("north", 1)[0]
    issuer.redeem(ticket, "north")
    assert refused(issuer, ticket) is Reason.ID_CLAIMED


def test_released_ticket_can_be_redeemed_again():
    issuer, _ = make_issuer()
    ticket = issuer.issue("north", 1)[0]
    issuer.release(issuer.redeem(ticket, "north"))
    assert issuer.redeem(ticket, "north").team == "north"


def test_ticket_of_another_incarnation_or_team_or_forged_is_refused():
    issuer, _ = make_issuer()
    other, _ = make_issuer("entry-1~01")
    ticket = issuer.issue("north", 1)[0]
    forged = ticket[:-4] + ("AAAA" if not ticket.endswith("AAAA") else "BBBB")
    assert parse_ticket(ticket).incarnation == "entry-1~00"
    assert refused(other, ticket) is Reason.ID_MALFORMED
    assert refused(issuer, forged) is Reason.ID_MALFORMED
    assert refused(issuer, "t1.@@@") is Reason.ID_MALFORMED
    assert refused(issuer, ticket, "south") is Reason.TICKET_FOREIGN


def test_expired_ticket_is_refused_and_no_longer_stored():
    issuer, clock = make_issuer()
    used, unused = issuer.issue("north", 2)
    issuer.redeem(used, "north")
    clock.advance(101.0)
    assert refused(issuer, unused) is Reason.ID_TOO_OLD
    assert refused(issuer, used) is Reason.ID_TOO_OLD
    issuer.redeem(issuer.issue("north", 1)[0], "north")
    assert issuer.used_count == 1
