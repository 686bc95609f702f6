"""Lists instances, and sends move and maintenance orders, in background threads."""

import queue
import threading
import time
from collections.abc import Callable
from typing import NamedTuple

from almondstack.control.errors import InstanceServiceError, NotOwnerError
from almondstack.control.messages import InstanceInfo, InstanceState, OrderStatus
from almondstack.control.paced_calls import PacedCalls
from almondstack.control.services import OwnerServices
from almondstack.core.supervision import report_error
from almondstack.jobs import RecordKind
from almondstack.ownership import StoreError

__all__ = ["InstanceManager"]

_RETRY_PAUSE_S = 0.4
"""Pause before a failed order, list or report is repeated, in seconds."""

_CLOCK_TOLERANCE_S = 0.5
"""Usual difference between the clocks of two instances, in seconds."""

_CLOCK_DIFFERENCE_S = 5.0
"""Largest difference between them, in seconds: the time of day of an instance may be set."""

_ORDER_THREADS = 6
"""Orders in flight at one time: one takes 10 to 20 ms, and a burst needs dozens at once."""

_MAX_OPEN_ORDERS = 24
"""Unanswered orders beyond which no move is decided, so that no order waits long for others."""

_MAX_ORDER_DELAY_S = 13.0
"""An order without an answer may still be executed within this time, in seconds."""


_FENCING_STATUSES = frozenset({OrderStatus.DONE, OrderStatus.NO_ROOM})
"""Answers that show that the service knows this owner's token for the instance."""


class _Order(NamedTuple):
    """A move to a pool, or a maintenance for a wave if ``pool`` is empty."""

    instance: str
    pool: str
    wave: int


class _EarlierOrder(NamedTuple):
    """An order that an earlier owner has stored.

    Explanation
    -----------
    ``ordered_ms`` is the time of day of that owner, in Unix milliseconds, and ``read_s`` when
    this process read the record, in monotonic seconds.
    """

    ordered_ms: int
    read_s: float

    @property
    def age_s(self) -> float:
        """Seconds since the order, by two clocks that may differ."""
        return time.time() - self.ordered_ms / 1000.0

    def may_be_younger(self, than_s: float) -> bool:
        """Whether less than ``than_s`` seconds may have passed since the order was stored.

        Explanation
        -----------
        The time since it was read is measured by one clock, and is never longer than that
        since it was stored.  The two times of day rule out only what a process that has
        just started has read of long ago.
        """
        is_read_lately = time.monotonic() - self.read_s < than_s
        return is_read_lately and abs(self.age_s) < than_s + _CLOCK_DIFFERENCE_S


class _Pending:
    """An order in flight, or answered but not yet shown by the instance list."""

    __slots__ = ("order", "replied_s")

    def __init__(self, order: _Order) -> None:
        self.order = order
        self.replied_s: float | None = None


class InstanceManager:
    """Lists the instances, and moves and maintains them.

    Explanation
    -----------
    Orders to different instances run in parallel; an instance has one at a time.
    An ordered change is shown as in effect until a list that was requested after
    the answer replaces it.  An order without an answer is repeated, and its
    instance gets no other order for as long as the first may still be executed.

    Parameters
    ----------
    services : OwnerServices
        The instance service, the wave directory, stored records and the event log.
    token : int
        The owner's fencing token.
    may_act : callable, optional
        Returns whether the owner may still act: it is asked just before each order is sent.
    """

    __slots__ = (
        "_calls",
        "_fenced_instances",
        "_instances",
        "_is_fenced",
        "_is_listing",
        "_list_requested_s",
        "_listed_s",
        "_lock",
        "_may_act",
        "_not_before_s",
        "_orders",
        "_pending",
        "_predecessor_maintenance",
        "_predecessor_orders",
        "_predecessor_orders_end_s",
        "_refused_pools",
        "_services",
        "_started_maintenance",
        "_thread",
        "_token",
        "_unclear_maintenance",
        "_unclear_until_s",
        "_unsettled_until_s",
        "interval_s",
    )

    def __init__(
        self, services: OwnerServices, token: int, may_act: Callable[[], bool] = lambda: True
    ) -> None:
        self._services = services
        self._token = token
        self._may_act = may_act
        self._fenced_instances: set[str] = set()
        self._predecessor_orders = self._recent_orders(RecordKind.INSTANCE)
        self._predecessor_maintenance = self._recent_orders(RecordKind.MAINTENANCE)
        self._unsettled_until_s = time.monotonic() + _MAX_ORDER_DELAY_S
        self._unclear_maintenance: set[str] = set()
        self._instances: dict[str, InstanceInfo] = {}
        self._pending: dict[str, _Pending] = {}
        self._not_before_s: dict[str, float] = {}
        self._unclear_until_s: dict[str, float] = {}
        self._started_maintenance: dict[int, set[str]] = {}
        self._refused_pools: set[tuple[str, str]] = set()
        turn_s = services.control.turn_s + _CLOCK_TOLERANCE_S
        self._predecessor_orders_end_s = time.monotonic() + turn_s
        self._is_fenced = False
        self._is_listing = False
        self._list_requested_s = 0.0
        self._listed_s = 0.0
        self._lock = threading.Lock()
        self._calls: queue.SimpleQueue[Callable[[], None] | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name="instances", daemon=True)
        self._orders = PacedCalls(
            "instance-orders", _ORDER_THREADS, services.control.instance_orders_per_s
        )
        self.interval_s = services.control.instances_interval_s

    @property
    def has_list(self) -> bool:
        """Whether the instances were listed at least once."""
        return self._listed_s > 0

    @property
    def list_requested_s(self) -> float:
        """Monotonic time at which the present list was requested, in seconds."""
        return self._list_requested_s

    @property
    def is_fenced(self) -> bool:
        """Whether no more orders may be sent: a newer owner has sent orders, or this was closed."""
        return self._is_fenced

    @property
    def remaining_orders(self) -> int:
        """How many more orders can be sent without waiting long for others."""
        with self._lock:
            open_count = sum(pending.replied_s is None for pending in self._pending.values())
        return max(0, _MAX_OPEN_ORDERS - open_count)

    def start(self) -> None:
        """Start the threads."""
        self._thread.start()
        self._orders.start()

    def close(self) -> None:
        """Make no more calls."""
        self._is_fenced = True
        self._calls.put(None)
        self._orders.close()

    def refresh(self, now_s: float) -> None:
        """Request the instances again when the last list is older than the interval."""
        if not self._is_listing and now_s - self._listed_s >= self.interval_s:
            self._is_listing = True
            self._calls.put(self._fetch_list)

    def instances(self) -> list[InstanceInfo]:
        """Return the instances, with ordered changes shown as in effect."""
        with self._lock:
            return [self._with_pending_order(info) for info in self._instances.values()]

    def can_order(self, instance: str, now_s: float) -> bool:
        """Whether an order to an instance may be sent now."""
        if now_s < self._predecessor_orders_end_s and self._is_ordered_by_predecessor(instance):
            return False
        with self._lock:
            if instance in self._pending:
                return False
            return self._not_before_s.get(instance, 0.0) <= now_s

    def is_order_open(self, instance: str, life_ms: int, now_s: float) -> bool:
        """Whether an order may still end the runs on this process of the instance's worker.

        Explanation
        -----------
        ``life_ms`` is the start of the process in Unix milliseconds; a process that
        started after the order shows that the order was executed.
        """
        if now_s < self._predecessor_orders_end_s and self._is_ordered_by_predecessor(instance):
            ordered_ms = self._predecessor_orders[instance].ordered_ms
            return life_ms < ordered_ms + _CLOCK_TOLERANCE_S * 1000.0
        with self._lock:
            return instance in self._pending or self._unclear_until_s.get(instance, 0.0) > now_s

    def may_begin_maintenance(self, instance: str, now_s: float) -> bool:
        """Whether an order of which this owner knows no answer may still begin a maintenance.

        Explanation
        -----------
        An order that a previous owner has stored may be sent or executed late, for example
        after its process was suspended.  Fencing tokens apply to each instance separately,
        so it is ruled out only once the service has answered an order of this owner to
        the same instance.
        """
        with self._lock:
            is_unclear = self._unclear_until_s.get(instance, 0.0) > now_s
            if is_unclear and instance in self._unclear_maintenance:
                return True
            if instance in self._fenced_instances or instance in self._pending:
                return False
        return instance in self._predecessor_maintenance and now_s < self._unsettled_until_s

    def predecessor_order_age_s(self, instance: str) -> float:
        """Return the seconds since the last order of an earlier owner to an instance."""
        order = self._predecessor_orders.get(instance)
        return order.age_s if order is not None else time.time()

    def may_move(self, instance: str, pool: str) -> bool:
        """Whether the service has not refused this pool for the instance."""
        return (instance, pool) not in self._refused_pools

    def started_maintenance(self, wave: int) -> set[str]:
        """Return the instances whose maintenance for a wave the service has confirmed."""
        with self._lock:
            return set(self._started_maintenance.get(wave, ()))

    def move(self, instance: str, pool: str) -> None:
        """Order the move of an instance to a pool."""
        self._enqueue(_Order(instance, pool, 0))

    def maintain(self, instance: str, wave: int) -> None:
        """Order the maintenance of an instance for a wave."""
        self._enqueue(_Order(instance, "", wave))

    def report(self, wave: int, is_completed: bool, done: Callable[[], None]) -> None:
        """Report whether a wave is completed, with retries; call ``done`` once it is stored."""
        self._calls.put(lambda: self._send_report(wave, is_completed, done))

    def _recent_orders(self, kind: RecordKind) -> dict[str, _EarlierOrder]:
        """Return the orders that may not have been executed yet.

        Explanation
        -----------
        Called before this owner stores any order, so that all of them are of earlier owners.
        """
        stored = self._services.index.fleet_records(kind)
        orders = {
            name: _EarlierOrder(int.from_bytes(record.value, "big"), record.read_s)
            for name, record in stored.items()
        }
        return {
            name: order
            for name, order in orders.items()
            if order.may_be_younger(_MAX_ORDER_DELAY_S)
        }

    def _is_ordered_by_predecessor(self, instance: str) -> bool:
        """Whether an earlier owner sent the instance an order just before this one took over."""
        order = self._predecessor_orders.get(instance)
        turn_s = self._services.control.turn_s + _CLOCK_TOLERANCE_S
        return order is not None and order.may_be_younger(turn_s)

    def _enqueue(self, order: _Order) -> None:
        if self._is_fenced:
            return
        with self._lock:
            self._pending[order.instance] = _Pending(order)
        self._orders.put(lambda: self._execute(order))

    def _with_pending_order(self, info: InstanceInfo) -> InstanceInfo:
        pending = self._pending.get(info.name)
        if pending is None:
            return info
        if pending.order.pool:
            return info._replace(pool=pending.order.pool, state=InstanceState.MOVING)
        return info._replace(state=InstanceState.MAINTENANCE)

    def _run(self) -> None:
        while (call := self._calls.get()) is not None:
            try:
                call()
            except Exception:
                # Lists and reports may be repeated; one that is dropped would be missed for good.
                report_error()
                time.sleep(_RETRY_PAUSE_S)
                self._calls.put(call)

    def _fetch_list(self) -> None:
        began_s = time.monotonic()
        try:
            instances = self._services.instances.instances()
        except InstanceServiceError as error:
            self._services.events.write("instances-unlisted", error=str(error))
            self._listed_s = max(self._listed_s, 0.0)
            time.sleep(_RETRY_PAUSE_S)
            self._is_listing = False
            return
        with self._lock:
            self._instances = {info.name: info for info in instances}
            for name, pending in list(self._pending.items()):
                if pending.replied_s is not None and pending.replied_s <= began_s:
                    del self._pending[name]
        self._list_requested_s = began_s
        self._listed_s = time.monotonic()
        self._is_listing = False

    def _execute(self, order: _Order) -> None:
        if self._is_fenced:
            return
        began_s = time.monotonic()
        status = self._send(order)
        self._services.events.write(
            "instance-order",
            instance=order.instance,
            pool=order.pool,
            wave=order.wave,
            token=self._token,
            status=status,
        )
        self._handle_status(order, status, began_s)

    def _send(self, order: _Order) -> OrderStatus:
        """Send an order unless another process may own the jobs by now."""
        if not self._may_act():
            self._services.metrics.count("instance.withheld")
            return OrderStatus.NOT_SENT
        service = self._services.instances
        try:
            if order.pool:
                return service.move(order.instance, order.pool, self._token)
            return service.maintain(order.instance, order.wave, self._token)
        except Exception:
            # The service may have executed the order, as after a lost answer.
            report_error()
            return OrderStatus.UNCLEAR

    def _check_may_act(self) -> None:
        if not self._may_act():
            raise NotOwnerError("another process may own the jobs by now")

    def _handle_status(self, order: _Order, status: OrderStatus, began_s: float) -> None:
        now_s = time.monotonic()
        if status is OrderStatus.FENCED:
            self._is_fenced = True
        if status is OrderStatus.UNCLEAR:
            with self._lock:
                if order.wave:
                    self._unclear_maintenance.add(order.instance)
                self._not_before_s[order.instance] = began_s + _MAX_ORDER_DELAY_S
                self._unclear_until_s[order.instance] = began_s + _MAX_ORDER_DELAY_S
            self._orders.put(lambda: self._execute(order))
            return
        with self._lock:
            pending = self._pending.get(order.instance)
            if status in _FENCING_STATUSES:
                self._fenced_instances.add(order.instance)
            if status is OrderStatus.DONE:
                # An earlier attempt that is executed late finds the order done.
                self._unclear_until_s.pop(order.instance, None)
            if status is OrderStatus.DONE and order.wave:
                self._started_maintenance.setdefault(order.wave, set()).add(order.instance)
            if status is OrderStatus.DONE and pending is not None:
                pending.replied_s = now_s
                return
            self._pending.pop(order.instance, None)
            if status is OrderStatus.INVALID and order.pool:
                self._refused_pools.add((order.instance, order.pool))
            retry_s = max(self._not_before_s.get(order.instance, 0.0), now_s + _RETRY_PAUSE_S)
            self._not_before_s[order.instance] = retry_s

    def _send_report(self, wave: int, is_completed: bool, done: Callable[[], None]) -> None:
        try:
            # A successor may have reported more by now, which a late report would replace.
            self._check_may_act()
            self._services.directory.report_wave(wave, is_completed)
        except (StoreError, NotOwnerError) as error:
            self._services.events.write("wave-unreported", wave=wave, error=str(error))
            time.sleep(_RETRY_PAUSE_S)
            self._calls.put(lambda: self._send_report(wave, is_completed, done))
            return
        self._services.events.write("wave-reported", wave=wave, is_completed=is_completed)
        done()
