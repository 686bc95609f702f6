"""Orders that wait to be sent to one worker: stops and paces before starts."""

import threading
from collections import Counter, deque
from collections.abc import Callable
from typing import NamedTuple

from almondstack.control.messages import OrderKind, StartOrder

__all__ = ["Order", "OrderQueue"]


class Order(NamedTuple):
    """An order for one run; ``start`` and ``is_wanted`` belong to starts, ``percent`` to paces.

    ``queued_s`` is when a start was queued, in monotonic seconds.
    """

    kind: OrderKind
    task: str
    run: int
    start: StartOrder | None = None
    is_wanted: Callable[[], bool] = lambda: True
    percent: int = 0
    queued_s: float = 0.0

    @property
    def key(self) -> tuple[OrderKind, str, int]:
        """Kind, task and run: of two stops or paces with one key, only the later one counts."""
        return self.kind, self.task, self.run


class OrderQueue:
    """Orders to one worker, in the order in which they are to be sent.

    Explanation
    -----------
    A stop or a pace is sent before all starts that wait, so that a cancel does not wait for
    them.  The next one for the same run replaces it, so that repeats don't fill the queue.

    Examples
    --------
    >>> orders = OrderQueue()
    >>> orders.put(Order(OrderKind.START, "t1", 1))
    >>> orders.put(Order(OrderKind.STOP, "t0", 1))
    >>> orders.put(Order(OrderKind.STOP, "t0", 1))
    >>> len(orders), orders.starts
    (2, 1)
    >>> [orders.get(timeout_s=0.0).task for _ in range(2)]
    ['t0', 't1']
    >>> orders.get(timeout_s=0.0) is None
    True
    """

    __slots__ = ("_changed", "_is_closed", "_starts", "_urgent", "_waiting")

    def __init__(self) -> None:
        self._urgent: dict[tuple[OrderKind, str, int], Order] = {}
        self._starts: deque[Order] = deque()
        self._waiting: Counter[tuple[OrderKind, str, int]] = Counter()
        self._is_closed = False
        self._changed = threading.Condition()

    def __len__(self) -> int:
        return len(self._urgent) + len(self._starts)

    @property
    def starts(self) -> int:
        """Number of starts that wait."""
        return len(self._starts)

    def put(self, order: Order) -> None:
        """Add an order."""
        with self._changed:
            if self._is_closed:
                return
            if order.kind is OrderKind.START:
                self._starts.append(order)
                self._waiting[order.key] += 1
            else:
                self._urgent[order.key] = order
            self._changed.notify()

    def get(self, timeout_s: float | None = None) -> Order | None:
        """Take the next order; None once closed, or if none has come within ``timeout_s``."""
        with self._changed:
            self._changed.wait_for(self._is_ready, timeout_s)
            if self._is_closed or not len(self):
                return None
            if not self._urgent:
                return self._take_start()
            return self._urgent.pop(next(iter(self._urgent)))

    def has_start(self, task: str, run: int) -> bool:
        """Whether a start of that run waits."""
        with self._changed:
            return (OrderKind.START, task, run) in self._waiting

    def close(self) -> None:
        """Drop the orders, and wake all threads that wait for one."""
        with self._changed:
            self._is_closed = True
            self._waiting.clear()
            self._changed.notify_all()

    def _take_start(self) -> Order:
        order = self._starts.popleft()
        self._waiting[order.key] -= 1
        if not self._waiting[order.key]:
            del self._waiting[order.key]
        return order

    def _is_ready(self) -> bool:
        return self._is_closed or len(self) > 0
