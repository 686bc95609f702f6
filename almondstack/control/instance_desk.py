"""Calls to the instance service, made by threads of their own."""

import queue
import threading
import time
from collections.abc import Callable
from typing import NamedTuple

from almondstack.control.errors import InstanceServiceError
from almondstack.control.messages import InstanceInfo, InstanceState, OrderStatus
from almondstack.control.paced_calls import PacedCalls
from almondstack.control.services import OwnerServices
from almondstack.jobs import RecordKind
from almondstack.ownership import StoreError

__all__ = ["InstanceDesk"]

_RETRY_S = 0.4
"""Pause before an order to an instance is tried again, in seconds."""

_CLOCK_SLACK_S = 0.5
"""By so much the times of day of two instances may differ, in seconds."""

_ORDER_THREADS = 6
"""Orders under way at one time: one takes 10 to 20 ms, and a burst needs dozens at once."""

_MOST_OPEN_ORDERS = 24
"""Orders without a reply beyond which no move is decided, so that none waits long on older ones."""

_MOST_DELAY_S = 13.0
"""An order without an answer may still be carried out within this time, in seconds."""


class _Order(NamedTuple):
    instance: str
    pool: str
    wave: int


class _Pending:
    """An order on its way, or answered but not yet seen in the list."""

    __slots__ = ("order", "replied_s")

    def __init__(self, order: _Order) -> None:
        self.order = order
        self.replied_s: float | None = None


class InstanceDesk:
    """Knows the instances, and moves and maintains them.

    Explanation
    -----------
    Orders to different instances go side by side; an instance has one at a time.
    What was ordered is shown as done until a list that was fetched after the
    answer says what is so.  An order without an answer is repeated, and its
    instance gets no other order for as long as the first may still arrive.

    Parameters
    ----------
    services : OwnerServices
        The instance service, the reports of waves and where lines go.
    token : int
        The owner's fencing token.
    """

    __slots__ = (
        "_asked_s",
        "_instances",
        "_is_fenced",
        "_is_listing",
        "_listed_s",
        "_lock",
        "_maintained",
        "_not_before_s",
        "_open_until_s",
        "_orders",
        "_pending",
        "_refused_pools",
        "_services",
        "_tasks",
        "_thread",
        "_token",
        "_turns_end_s",
        "interval_s",
    )

    def __init__(self, services: OwnerServices, token: int) -> None:
        self._services = services
        self._token = token
        self._instances: dict[str, InstanceInfo] = {}
        self._pending: dict[str, _Pending] = {}
        self._not_before_s: dict[str, float] = {}
        self._open_until_s: dict[str, float] = {}
        self._maintained: dict[int, set[str]] = {}
        self._refused_pools: set[tuple[str, str]] = set()
        turn_s = services.control.turn_s + _CLOCK_SLACK_S
        self._turns_end_s = time.monotonic() + turn_s
        self._is_fenced = False
        self._is_listing = False
        self._asked_s = 0.0
        self._listed_s = 0.0
        self._lock = threading.Lock()
        self._tasks: queue.SimpleQueue[Callable[[], None] | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run, name="instances", daemon=True)
        self._orders = PacedCalls(
            "instance-orders", _ORDER_THREADS, services.control.instance_orders_per_s
        )
        self.interval_s = services.control.instances_interval_s

    @property
    def is_known(self) -> bool:
        """Whether the instances were listed at least once."""
        return self._listed_s > 0

    @property
    def asked_s(self) -> float:
        """Monotonic time at which the present list was asked for, in seconds."""
        return self._asked_s

    @property
    def is_fenced(self) -> bool:
        """Whether another owner has given orders, so that no more may be given here."""
        return self._is_fenced

    @property
    def room(self) -> int:
        """How many more orders can be carried out without waiting long for others."""
        with self._lock:
            is_open = sum(pending.replied_s is None for pending in self._pending.values())
        return max(0, _MOST_OPEN_ORDERS - is_open)

    def start(self) -> None:
        """Start the threads."""
        self._thread.start()
        self._orders.start()

    def close(self) -> None:
        """Make no more calls."""
        self._is_fenced = True
        self._tasks.put(None)
        self._orders.close()

    def refresh(self, now_s: float) -> None:
        """Have the instances listed again when the last list is old."""
        if not self._is_listing and now_s - self._listed_s >= self.interval_s:
            self._is_listing = True
            self._tasks.put(self._list)

    def instances(self) -> list[InstanceInfo]:
        """Return the instances, with what was ordered shown as done."""
        with self._lock:
            return [self._overlay(info) for info in self._instances.values()]

    def is_free(self, instance: str, now_s: float) -> bool:
        """Whether an order to an instance may be given now."""
        if now_s < self._turns_end_s and self._is_others_turn(instance):
            return False
        with self._lock:
            if instance in self._pending:
                return False
            return self._not_before_s.get(instance, 0.0) <= now_s

    def is_order_open(self, instance: str, life_ms: int, now_s: float) -> bool:
        """Whether an order may still cut off what runs on this life of the instance's worker.

        Explanation
        -----------
        A life that began after the order shows that the order is carried out.
        """
        if now_s < self._turns_end_s and self._is_others_turn(instance):
            return life_ms < self._noted_ms(instance) + _CLOCK_SLACK_S * 1000.0
        with self._lock:
            return instance in self._pending or self._open_until_s.get(instance, 0.0) > now_s

    def may_go(self, instance: str, pool: str) -> bool:
        """Whether the service has not refused that pool for the instance."""
        return (instance, pool) not in self._refused_pools

    def maintained(self, wave: int) -> set[str]:
        """Return the instances whose maintenance for a wave the service has confirmed."""
        with self._lock:
            return set(self._maintained.get(wave, ()))

    def move(self, instance: str, pool: str) -> None:
        """Order a move."""
        self._submit(_Order(instance, pool, 0))

    def maintain(self, instance: str, wave: int) -> None:
        """Order a maintenance."""
        self._submit(_Order(instance, "", wave))

    def report(self, wave: int, is_completed: bool, done: Callable[[], None]) -> None:
        """Report how far a wave is; calls ``done`` once that is stored."""
        self._tasks.put(lambda: self._report(wave, is_completed, done))

    def _is_others_turn(self, instance: str) -> bool:
        """Whether an owner before has ordered the instance just before this one took over."""
        age_s = time.time() - self._noted_ms(instance) / 1000.0
        return age_s < self._services.control.turn_s + _CLOCK_SLACK_S

    def _noted_ms(self, instance: str) -> int:
        """Return the Unix milliseconds of the last order to an instance; 0 without one."""
        noted = self._services.book.fleet_record(RecordKind.INSTANCE, instance)
        return int.from_bytes(noted, "big") if noted is not None else 0

    def _submit(self, order: _Order) -> None:
        if self._is_fenced:
            return
        with self._lock:
            self._pending[order.instance] = _Pending(order)
        self._orders.put(lambda: self._carry_out(order))

    def _overlay(self, info: InstanceInfo) -> InstanceInfo:
        pending = self._pending.get(info.name)
        if pending is None:
            return info
        if pending.order.pool:
            return info._replace(pool=pending.order.pool, state=InstanceState.MOVING)
        return info._replace(state=InstanceState.MAINTENANCE)

    def _run(self) -> None:
        while (task := self._tasks.get()) is not None:
            task()

    def _list(self) -> None:
        began_s = time.monotonic()
        try:
            instances = self._services.instances.instances()
        except InstanceServiceError as error:
            self._services.events.write("instances-unlisted", error=str(error))
            self._listed_s = max(self._listed_s, 0.0)
            time.sleep(_RETRY_S)
            self._is_listing = False
            return
        with self._lock:
            self._instances = {info.name: info for info in instances}
            for name, pending in list(self._pending.items()):
                if pending.replied_s is not None and pending.replied_s <= began_s:
                    del self._pending[name]
        self._asked_s = began_s
        self._listed_s = time.monotonic()
        self._is_listing = False

    def _carry_out(self, order: _Order) -> None:
        if self._is_fenced:
            return
        service = self._services.instances
        began_s = time.monotonic()
        if order.pool:
            status = service.move(order.instance, order.pool, self._token)
        else:
            status = service.maintain(order.instance, order.wave, self._token)
        self._services.events.write(
            "instance-order",
            instance=order.instance,
            pool=order.pool,
            wave=order.wave,
            token=self._token,
            status=status,
        )
        self._note(order, status, began_s)

    def _note(self, order: _Order, status: OrderStatus, began_s: float) -> None:
        now_s = time.monotonic()
        if status is OrderStatus.FENCED:
            self._is_fenced = True
        if status is OrderStatus.UNCLEAR:
            with self._lock:
                self._not_before_s[order.instance] = began_s + _MOST_DELAY_S
                self._open_until_s[order.instance] = began_s + _MOST_DELAY_S
            self._orders.put(lambda: self._carry_out(order))
            return
        with self._lock:
            pending = self._pending.get(order.instance)
            if status is OrderStatus.DONE:
                # An earlier try that is carried out late finds the order done.
                self._open_until_s.pop(order.instance, None)
            if status is OrderStatus.DONE and order.wave:
                self._maintained.setdefault(order.wave, set()).add(order.instance)
            if status is OrderStatus.DONE and pending is not None:
                pending.replied_s = now_s
                return
            self._pending.pop(order.instance, None)
            if status is OrderStatus.INVALID and order.pool:
                self._refused_pools.add((order.instance, order.pool))
            retry_s = max(self._not_before_s.get(order.instance, 0.0), now_s + _RETRY_S)
            self._not_before_s[order.instance] = retry_s

    def _report(self, wave: int, is_completed: bool, done: Callable[[], None]) -> None:
        try:
            self._services.directory.report_wave(wave, is_completed)
        except StoreError as error:
            self._services.events.write("wave-unreported", wave=wave, error=str(error))
            time.sleep(_RETRY_S)
            self._tasks.put(lambda: self._report(wave, is_completed, done))
            return
        self._services.events.write("wave-reported", wave=wave, is_completed=is_completed)
        done()
