"""Routes HTTP requests to handlers and turns errors into problem responses."""

from almondstack.core import PartLogger, Reason, RequestError
from almondstack.entry.http import HttpReply, HttpRequest, json_reply
from almondstack.entry.operator import OperatorHandler
from almondstack.entry.parts import EntryParts
from almondstack.entry.problems import problem_body, problem_headers
from almondstack.entry.status import status_of
from almondstack.entry.submit import SubmitHandler
from almondstack.entry.tickets import CancelHandler, TicketHandler

__all__ = ["EntryApp"]

_log = PartLogger("entry")


class EntryApp:
    """Handles the HTTP requests of callers.

    Parameters
    ----------
    parts : EntryParts
        Shared components of the entry.
    """

    __slots__ = ("_cancel", "_operator", "_parts", "_submit", "_tickets")

    def __init__(self, parts: EntryParts) -> None:
        self._parts = parts
        self._submit = SubmitHandler(parts)
        self._tickets = TicketHandler(parts)
        self._cancel = CancelHandler(parts)
        self._operator = OperatorHandler(parts)

    def __call__(self, request: HttpRequest) -> HttpReply:
        """Return the response to one request; never raises."""
        try:
            return self._route(request)
        except RequestError as error:
            return self._refuse(error)
        except Exception as error:
            _log.error("Request handler raised %r; refusing the request as internal.", error)
            return self._refuse(RequestError(Reason.INTERNAL))

    def _route(self, request: HttpRequest) -> HttpReply:
        match request.method, request.path_parts:
            case "POST", ("v1", "queues", queue, "requests"):
                return self._submit.handle(request, queue)
            case "POST", ("v1", "tickets"):
                return self._tickets.handle(request)
            case "DELETE", ("v1", "queues", queue, "requests", request_id):
                return self._cancel.handle(request, queue, request_id)
            case "POST", ("v1", "operator", "revocations"):
                return self._operator.handle(request)
            case "GET", ("livez",):
                return json_reply({"live": True})
            case "GET", ("readyz",):
                self._parts.check_ready()
                return json_reply({"ready": True})
            case "GET", ("statusz",):
                return json_reply(status_of(self._parts))
        raise RequestError(Reason.PATH_UNKNOWN)

    def _refuse(self, error: RequestError) -> HttpReply:
        self._parts.metrics.count(f"refused.{error.reason.value}")
        self._parts.metrics.count(f"outcome.{error.outcome.value}")
        body = problem_body(error)
        return HttpReply(error.status, problem_headers(error, body), [body])
