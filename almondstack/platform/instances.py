"""HTTP client of the platform's machine service; a machine is an instance in this code."""

from urllib.parse import quote

import msgspec

from almondstack.control.errors import InstanceServiceError
from almondstack.control.messages import InstanceInfo, InstanceState, OrderStatus
from almondstack.core import CodecError, decode_with
from almondstack.core.http_client import HttpClient, HttpReply, NoAnswerError, NotSentError
from almondstack.platform.wire import MachinesWire, MachineWire, OrderReplyWire

__all__ = ["HttpInstances"]

_OK = 200
_BAD_REQUEST = 400
_CONFLICT = 409
_REFUSED_STATUSES = (429, 503)
_TIMEOUT_S = 1.5
_MAX_PAGES = 100

_STATE_BY_NAME = {
    "up": InstanceState.UP,
    "moving": InstanceState.MOVING,
    "upkeep": InstanceState.MAINTENANCE,
    "down": InstanceState.DOWN,
}
_STATUS_BY_REASON = {
    "fence": OrderStatus.FENCED,
    "busy": OrderStatus.NO_ROOM,
    "wave": OrderStatus.INVALID,
}
_MAX_CONNECTIONS = 7
"""Orders are sent concurrently with each other and with reads of the instance list."""

_page_decoder = msgspec.json.Decoder(MachinesWire)
_order_reply_decoder = msgspec.json.Decoder(OrderReplyWire)


class HttpInstances:
    """Lists, moves and maintains instances; implements ``InstanceService``.

    Parameters
    ----------
    address : str
        Address of the service as ``IP:PORT``.
    holder : str
        Name of this process, sent with each order.
    """

    __slots__ = ("_caller", "_holder")

    def __init__(self, address: str, holder: str) -> None:
        self._caller = HttpClient(address, _MAX_CONNECTIONS)
        self._holder = holder

    def use_address(self, address: str) -> None:
        """Send later calls to another address."""
        self._caller.use_address(address)

    def instances(self) -> list[InstanceInfo]:
        """Return all instances.

        Raises
        ------
        InstanceServiceError
            A call failed, or the list has too many pages.
        """
        found: list[InstanceInfo] = []
        query = ""
        for _ in range(_MAX_PAGES):
            page = self._fetch_page(f"/almondstack/machines{query}")
            found.extend(map(_to_instance, page.machines))
            if not page.next_token:
                return found
            query = f"?page-token={quote(str(page.next_token), safe='')}"
        raise InstanceServiceError(f"the instance list has more than {_MAX_PAGES} pages")

    def move(self, instance: str, pool: str, token: int) -> OrderStatus:
        """Move an instance to a pool."""
        body = msgspec.json.encode({"machine": instance, "pool": pool})
        return self._order("/almondstack/machine-move", body, token)

    def maintain(self, instance: str, wave: int, token: int) -> OrderStatus:
        """Start the maintenance of an instance."""
        body = msgspec.json.encode({"machine": instance, "wave": wave})
        return self._order("/almondstack/machine-upkeep", body, token)

    def _fetch_page(self, path: str) -> MachinesWire:
        try:
            reply = self._caller.call("GET", path, _TIMEOUT_S)
        except (NotSentError, NoAnswerError) as error:
            raise InstanceServiceError(str(error)) from error
        if reply.status != _OK:
            raise InstanceServiceError(f"GET {path} was answered with status {reply.status}")
        try:
            return decode_with(_page_decoder, reply.body)
        except CodecError as error:
            raise InstanceServiceError(str(error)) from error

    def _order(self, path: str, body: bytes, token: int) -> OrderStatus:
        headers = {
            "Content-Type": "application/json",
            "X-Lease-Holder": self._holder,
            "X-Fencing-Token": str(token),
        }
        try:
            reply = self._caller.call("POST", path, _TIMEOUT_S, body, headers)
        except NotSentError:
            return OrderStatus.NOT_SENT
        except NoAnswerError:
            return OrderStatus.UNCLEAR
        return _status_of(reply)


def _status_of(reply: HttpReply) -> OrderStatus:
    if reply.status == _OK:
        return OrderStatus.DONE
    if reply.status in _REFUSED_STATUSES:
        return OrderStatus.REFUSED
    if reply.status == _BAD_REQUEST:
        return OrderStatus.INVALID
    if reply.status != _CONFLICT:
        return OrderStatus.UNCLEAR
    try:
        reason = decode_with(_order_reply_decoder, reply.body).reason
    except CodecError:
        return OrderStatus.REFUSED
    return _STATUS_BY_REASON.get(reason, OrderStatus.REFUSED)


def _to_instance(wire: MachineWire) -> InstanceInfo:
    rack = wire.labels[-1] if len(wire.labels) > 1 else ""
    return InstanceInfo(
        wire.name,
        wire.pool,
        _STATE_BY_NAME.get(wire.state, InstanceState.DOWN),
        wire.zone,
        rack,
        wire.capacity.cpu_millis,
        wire.worker or "",
    )
