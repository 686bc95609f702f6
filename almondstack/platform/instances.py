"""The platform's machines: instances in our words."""

from urllib.parse import quote

import msgspec

from almondstack.control.errors import InstanceServiceError
from almondstack.control.messages import InstanceInfo, InstanceState, OrderStatus
from almondstack.core.http_client import HttpCaller, HttpReply, NoAnswerError, NotSentError
from almondstack.platform.wire import ConflictWire, MachinesWire, MachineWire

__all__ = ["HttpInstances"]

_OK = 200
_BAD_REQUEST = 400
_CONFLICT = 409
_REFUSED = (429, 503)
_TIMEOUT_S = 1.5
_MOST_PAGES = 100

_STATES = {
    "up": InstanceState.UP,
    "moving": InstanceState.MOVING,
    "upkeep": InstanceState.MAINTENANCE,
    "down": InstanceState.DOWN,
}
_CONFLICTS = {
    "fence": OrderStatus.FENCED,
    "busy": OrderStatus.NO_ROOM,
    "wave": OrderStatus.INVALID,
}
_CONNECTIONS = 7
"""Orders go side by side, and beside them the list is read."""

_page = msgspec.json.Decoder(MachinesWire)
_conflict = msgspec.json.Decoder(ConflictWire)


class HttpInstances:
    """Lists, moves and maintains instances; see ``InstanceService``.

    Parameters
    ----------
    address : str
        Numeric address of the service.
    holder : str
        Names this process in orders.
    """

    __slots__ = ("_caller", "_holder")

    def __init__(self, address: str, holder: str) -> None:
        self._caller = HttpCaller(address, _CONNECTIONS)
        self._holder = holder

    def use_address(self, address: str) -> None:
        """Call another address from now on."""
        self._caller.use_address(address)

    def instances(self) -> list[InstanceInfo]:
        """Return all instances."""
        found: list[InstanceInfo] = []
        query = ""
        for _ in range(_MOST_PAGES):
            page = self._page(f"/almondstack/machines{query}")
            found.extend(map(_instance, page.machines))
            if not page.next_token:
                return found
            query = f"?page-token={quote(str(page.next_token), safe='')}"
        raise InstanceServiceError("the list does not end")

    def move(self, instance: str, pool: str, token: int) -> OrderStatus:
        """Move an instance to a pool."""
        body = msgspec.json.encode({"machine": instance, "pool": pool})
        return self._order("/almondstack/machine-move", body, token)

    def maintain(self, instance: str, wave: int, token: int) -> OrderStatus:
        """Begin an instance's maintenance."""
        body = msgspec.json.encode({"machine": instance, "wave": wave})
        return self._order("/almondstack/machine-upkeep", body, token)

    def _page(self, path: str) -> MachinesWire:
        try:
            reply = self._caller.call("GET", path, _TIMEOUT_S)
        except (NotSentError, NoAnswerError) as error:
            raise InstanceServiceError(str(error)) from error
        if reply.status != _OK:
            raise InstanceServiceError(f"status {reply.status}")
        try:
            return _page.decode(reply.body)
        except msgspec.MsgspecError as error:
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
    if reply.status in _REFUSED:
        return OrderStatus.REFUSED
    if reply.status == _BAD_REQUEST:
        return OrderStatus.INVALID
    if reply.status != _CONFLICT:
        return OrderStatus.UNCLEAR
    try:
        return _CONFLICTS.get(_conflict.decode(reply.body).reason, OrderStatus.REFUSED)
    except msgspec.MsgspecError:
        return OrderStatus.REFUSED


def _instance(wire: MachineWire) -> InstanceInfo:
    rack = wire.labels[-1] if len(wire.labels) > 1 else ""
    return InstanceInfo(
        wire.name,
        wire.pool,
        _STATES.get(wire.state, InstanceState.DOWN),
        wire.zone,
        rack,
        wire.capacity.cpu_millis,
        wire.worker or "",
    )
