"""Handlers of ``POST /v1/tickets`` and of ``DELETE`` of a waiting request."""

import uuid

from almondstack.at_most_once import is_ticket, parse_ticket
from almondstack.core import Outcome, Reason, RequestError
from almondstack.dispatch import BufferedBody
from almondstack.entry.forwarding import FORWARDED_HEADER
from almondstack.entry.http import HttpReply, HttpRequest, json_reply
from almondstack.entry.parts import Handler
from almondstack.entry.submit import queue_of

__all__ = ["CancelHandler", "TicketHandler"]

_FORWARD_TIMEOUT_S = 5.0


class TicketHandler(Handler):
    """Issues tickets."""

    def handle(self, request: HttpRequest) -> HttpReply:
        """Return new tickets; ``?count=N`` requests more than one.

        Raises
        ------
        RequestError
            The key is missing or invalid, or the count is out of range.
        """
        self._parts.check_ready()
        team = self._parts.authenticator.authenticate(request.header("authorization"))
        count = self._count(request.query)
        tickets = self._parts.once.tickets.issue(team.name, count)
        self._parts.metrics.count("tickets.issued", count)
        life_s = self._parts.settings.once.ticket_life_s
        return json_reply({"tickets": tickets, "life_s": life_s})

    def _count(self, query: str) -> int:
        max_count = self._parts.settings.once.tickets_per_call
        if not query:
            return 1
        name, _, value = query.partition("=")
        is_number = name == "count" and value.isascii() and value.isdigit() and len(value) < 7
        if not is_number or not 1 <= int(value) <= max_count:
            raise RequestError(Reason.BAD_REQUEST, f"count must be from 1 to {max_count}")
        return int(value)


class CancelHandler(Handler):
    """Cancels a request that has not started."""

    def handle(self, request: HttpRequest, queue_name: str, request_id: str) -> HttpReply:
        """Cancel the request of the caller's team with this id.

        Raises
        ------
        RequestError
            There is no such waiting request, or it has started.
        """
        parts = self._parts
        queue = queue_of(parts, queue_name)
        team = parts.authenticator.authorize(queue, request.header("authorization"))
        call = parts.calls.find(team.name, request_id)
        if call is None:
            return self._forward_to_holder(request, team.name, request_id)
        if not parts.dispatcher.cancel(call.call_id):
            raise RequestError(Reason.ALREADY_STARTED)
        return json_reply({"cancelled": request_id}, Outcome.NOT_RUN)

    def _forward_to_holder(self, request: HttpRequest, team: str, request_id: str) -> HttpReply:
        holder = self._holder(team, request_id)
        entry = self._parts.fold.state.entries.get(holder or "")
        if entry is None or not entry.is_live or request.header(FORWARDED_HEADER):
            raise RequestError(Reason.ID_NOT_FOUND)
        if holder == self._parts.incarnation:
            raise RequestError(Reason.ID_NOT_FOUND)
        self._parts.metrics.count("forwarded.cancel")
        body = BufferedBody(b"")
        return self._parts.forwarder.forward(request, body, entry.address, _FORWARD_TIMEOUT_S)

    def _holder(self, team: str, request_id: str) -> str | None:
        if is_ticket(request_id):
            return parse_ticket(request_id).incarnation
        try:
            uuid.UUID(request_id)
        except ValueError as error:
            raise RequestError(Reason.ID_MALFORMED) from error
        return self._parts.once.claims.holder_of(team, request_id)
