import pytest

from almondstack.core import Reason, RequestError
from almondstack.once import OnceSettings, TicketIssuer, parse_ticket
from almondstack.testing.clocks import ManualClock

SETTINGS = OnceSettings(ticket_life_s=100.0)


def make_book(incarnation: str = "entry-1~00") -> tuple[TicketIssuer, ManualClock]:
    clock = ManualClock()
    return TicketIssuer(incarnation, SETTINGS, clock), clock


def refused(book: TicketIssuer, text: str, team: str = "north") -> Reason:
    with pytest.raises(RequestError) as caught:
        book.use(text, team)
    return caught.value.reason


def test_ticket_starts_once():
    book, _ = make_book()
    ticket = book.issue("north", 1)[0]
    book.use(ticket, "north")
    assert refused(book, ticket) is Reason.ID_CLAIMED


def test_released_ticket_can_be_used_again():
    book, _ = make_book()
    ticket = book.issue("north", 1)[0]
    book.release(book.use(ticket, "north"))
    assert book.use(ticket, "north").team == "north"


def test_ticket_of_another_life_or_team_or_forged_is_refused():
    book, _ = make_book()
    other, _ = make_book("entry-1~01")
    ticket = book.issue("north", 1)[0]
    forged = ticket[:-4] + ("AAAA" if not ticket.endswith("AAAA") else "BBBB")
    assert parse_ticket(ticket).incarnation == "entry-1~00"
    assert refused(other, ticket) is Reason.ID_MALFORMED
    assert refused(book, forged) is Reason.ID_MALFORMED
    assert refused(book, "t1.@@@") is Reason.ID_MALFORMED
    assert refused(book, ticket, "south") is Reason.TICKET_FOREIGN


def test_expired_ticket_is_refused_and_forgotten():
    book, clock = make_book()
    used, unused = book.issue("north", 2)
    book.use(used, "north")
    clock.advance(101.0)
    assert refused(book, unused) is Reason.ID_TOO_OLD
    assert refused(book, used) is Reason.ID_TOO_OLD
    book.use(book.issue("north", 1)[0], "north")
    assert book.used_count == 1
