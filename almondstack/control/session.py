"""Calls to one worker: orders in sequence, and polls that renew leases and list ended runs."""

import functools
import threading
import time
from collections.abc import Callable

from almondstack.control.current_runs import is_same_incarnation
from almondstack.control.lease import LeaseState, WorkerLease
from almondstack.control.messages import (
    OrderAnswered,
    OrderKind,
    OrderReply,
    OrderStatus,
    PollAnswered,
    PollFailed,
    PollReply,
    StartOrder,
    StartSent,
)
from almondstack.control.order_queue import Order, OrderQueue
from almondstack.control.ports import WorkerCaller, WorkerCallers
from almondstack.control.sent_calls import SentCalls, longest_hold_s
from almondstack.control.settings import ControlSettings
from almondstack.core import LocalMetrics
from almondstack.core.supervision import report_error
from almondstack.placement import WorkerInfo

__all__ = ["WorkerSession"]

_MS_PER_S = 1000.0

_MAX_EXTRA_CONNECTIONS = 2
"""Maximum number of extra connections for orders to one worker."""

_ORDERS_PER_CONNECTION = 32
"""Orders that may wait for each connection; beyond that another one is opened."""

_EXTRA_IDLE_S = 0.2
"""Time without an order after which an extra connection is closed, in seconds; the owner plans
several times in it."""

_LONG_WAIT_S = 0.5
"""Time that a start has waited from which on the owner is told when it is sent, in seconds; the
news of each start would cost it a round."""

_MAX_WAITING_STARTS = 64
"""Starts that may wait for one worker: about 0.2 s of calls that take 3 ms each."""


class WorkerSession:
    """Threads for one incarnation of a worker: one sends orders, one polls.

    Explanation
    -----------
    Polls renew the lease of all runs on the worker for as long as ``may_extend``
    allows, also while the owner's loop is blocked by the store; a poll after an
    unanswered one does not.  The worker lists an ended run in each reply until
    :meth:`acknowledge` is called with the number of that :class:`EndedRun`.
    While the answer to an order is late, or many orders wait, they go over extra
    connections as well.  A queued start is sent only if it is still wanted.
    Once another incarnation of the worker has answered, the session makes no more
    calls: that incarnation numbers its ended runs from the start again, and would take
    an acknowledgement meant for the earlier one as one of its own runs.

    Parameters
    ----------
    worker : WorkerInfo
        The worker to call.
    callers : WorkerCallers
        Makes connections to the worker.
    token : int
        The owner's fencing token.
    settings : ControlSettings
        Intervals and timeouts.
    post : callable
        Takes :class:`PollAnswered`, :class:`PollFailed` and :class:`OrderAnswered`.
    may_extend : callable
        Returns whether the owner may still extend leases.
    metrics : LocalMetrics
        Counts and times the calls.
    last_extension_s : float
        Latest monotonic time at which a previous owner may have extended the worker's
        lease, in seconds; the lease lasts for ``lease_s`` from then on.
    calls : SentCalls
        The calls that were sent to this life of the worker and to others.
    former_until_s : float, optional
        Until when the worker may take a deadline that a previous owner has sent to a former
        life of it, in monotonic seconds.
    contact_until_s : float, optional
        Until when calls for a former life of the worker may reach it unless it has answered one
        of this session, in monotonic seconds.
    """

    __slots__ = (
        "_orders_began_s",
        "_callers",
        "_calls",
        "_changed",
        "_contact_until_s",
        "_fenced_s",
        "_is_answering",
        "_is_busy",
        "_is_closed",
        "_last_acknowledged_end",
        "_last_listed_end",
        "_lease",
        "_may_extend",
        "_metrics",
        "_orders",
        "_post",
        "_settings",
        "_threads",
        "_token",
        "worker",
    )

    def __init__(
        self,
        worker: WorkerInfo,
        callers: WorkerCallers,
        token: int,
        settings: ControlSettings,
        post: Callable[[object], None],
        may_extend: Callable[[], bool],
        metrics: LocalMetrics,
        last_extension_s: float,
        calls: SentCalls | None = None,
        former_until_s: float | None = None,
        contact_until_s: float = 0.0,
    ) -> None:
        self.worker = worker
        self._callers = callers
        self._token = token
        self._settings = settings
        self._post = post
        self._may_extend = may_extend
        self._metrics = metrics
        self._lease = WorkerLease(settings, worker.clock_ms, last_extension_s, former_until_s)
        self._calls = calls or SentCalls(settings)
        self._fenced_s: float | None = None
        self._contact_until_s = contact_until_s
        self._is_answering = True
        self._is_busy = False
        self._is_closed = False
        self._last_listed_end = 0
        self._last_acknowledged_end = 0
        self._changed = threading.Condition()
        self._orders = OrderQueue()
        self._orders_began_s: dict[str, float] = {}
        self._threads: dict[str, threading.Thread] = {}

    @property
    def token(self) -> int:
        """Fencing token of all its calls."""
        return self._token

    @property
    def lease_end_s(self) -> float:
        """Monotonic time by which all runs end unless their lease is renewed later, in seconds.

        Explanation
        -----------
        Once this life has answered a call with this session's token, which is higher than those
        of calls for its former lives, it takes no more of these.
        """
        former_end_s = self._calls.end_s(self.worker.life)
        if self._fenced_s is not None:
            former_end_s = min(former_end_s, self._fenced_s + longest_hold_s(self._settings))
        return max(self._lease.end_s, former_end_s)

    @property
    def lease_state(self) -> LeaseState:
        """What the lease was last computed from."""
        return self._lease.state._replace(end_s=self.lease_end_s)

    @property
    def start_room(self) -> int:
        """How many more starts the worker can be told within a fraction of a second."""
        return max(0, _MAX_WAITING_STARTS - self._orders.starts)

    def is_start_waiting(self, task: str, run: int) -> bool:
        """Whether a start of that run is queued and not sent yet."""
        return self._orders.has_start(task, run)

    def needs_contact(self, now_s: float) -> bool:
        """Whether the worker is to be polled though it has no runs.

        Explanation
        -----------
        Its first answer to this session's token ends the time in which it carries out calls for
        a former life, such as the start of a run that goes on elsewhere.
        """
        return self._fenced_s is None and now_s < self._contact_until_s

    def set_busy(self, is_busy: bool) -> None:
        """Set whether the worker may have runs; it is polled only while it may."""
        if is_busy != self._is_busy:
            with self._changed:
                self._is_busy = is_busy
                self._changed.notify_all()
        if is_busy and not self._is_closed:
            # Restarts the thread if an error ended it: only polls show how runs go on.
            self._ensure_thread("looks", self._run_polls)

    def acknowledge(self, number: int) -> None:
        """Acknowledge with the next poll that the ended runs up to ``number`` are stored."""
        with self._changed:
            self._last_acknowledged_end = max(self._last_acknowledged_end, number)
            self._changed.notify_all()

    def start(self, order: StartOrder, is_wanted: Callable[[], bool]) -> None:
        """Queue a start; it is dropped if ``is_wanted`` returns False when it is to be sent."""
        queued_s = time.monotonic()
        self._submit(
            Order(OrderKind.START, order.task, order.run, order, is_wanted, queued_s=queued_s)
        )

    def stop(self, task: str, run: int) -> None:
        """Queue a stop."""
        self._submit(Order(OrderKind.STOP, task, run))

    def pace(self, task: str, run: int, percent: int) -> None:
        """Queue a change of a run's speed, in percent."""
        self._submit(Order(OrderKind.PACE, task, run, percent=percent))

    def add_connection_if_slow(self, now_s: float) -> None:
        """Open another connection for orders if all wait for late answers, or many orders wait."""
        if not len(self._orders) or self._is_closed:
            return
        began_s = list(self._orders_began_s.values())
        if not began_s:
            return
        is_late = now_s - max(began_s) >= self._settings.order_patience_s
        is_long = len(self._orders) > _ORDERS_PER_CONNECTION * len(began_s)
        if (is_late or is_long) and len(began_s) <= _MAX_EXTRA_CONNECTIONS:
            self._ensure_thread(f"orders-{len(began_s)}", self._run_extra_orders)

    def close(self) -> None:
        """End all threads; calls in flight may still reach the worker."""
        self._orders.close()
        with self._changed:
            self._is_closed = True
            self._changed.notify_all()

    def _submit(self, order: Order) -> None:
        self._orders.put(order)
        self._ensure_thread("orders", self._run_orders)

    def _ensure_thread(self, name: str, run: Callable[[], None]) -> None:
        """Start a thread unless it is running."""
        if name in self._threads and self._threads[name].is_alive():
            return
        thread = threading.Thread(target=run, name=f"{name}-{self.worker.id}", daemon=True)
        self._threads[name] = thread
        thread.start()

    def _run_orders(self) -> None:
        caller = self._callers.caller(self.worker)
        while (order := self._orders.get()) is not None and not self._is_closed:
            self._execute_supervised(caller, order)
        caller.close()

    def _run_extra_orders(self) -> None:
        """Send orders until none has been queued for a moment."""
        caller = self._callers.caller(self.worker)
        while (order := self._orders.get(_EXTRA_IDLE_S)) is not None and not self._is_closed:
            self._execute_supervised(caller, order)
        caller.close()

    def _execute_supervised(self, caller: WorkerCaller, order: Order) -> None:
        """Send one order; after an unforeseen error it is unknown whether the worker has it."""
        try:
            self._execute(caller, order)
        except Exception:
            report_error()
            reply = OrderReply(OrderStatus.UNCLEAR)
            self._post(OrderAnswered(self.worker, order.kind, order.task, order.run, reply))

    def _execute(self, caller: WorkerCaller, order: Order) -> None:
        """Send one order and post its reply."""
        thread_name = threading.current_thread().name
        began_s = self._orders_began_s[thread_name] = time.monotonic()
        try:
            reply = self._send(caller, order)
        finally:
            del self._orders_began_s[thread_name]
        self._metrics.timing_ms(f"order.{order.kind}", (time.monotonic() - began_s) * _MS_PER_S)
        self._metrics.count(f"order.{order.kind}.{reply.status}")
        self._lease.note_clock(reply.clock_ms, time.monotonic())
        self._post(OrderAnswered(self.worker, order.kind, order.task, order.run, reply))

    def _send(self, caller: WorkerCaller, order: Order) -> OrderReply:
        """Send an order over a connection that leads to this life of the worker."""
        if order.kind is OrderKind.START:
            return self._send_start(caller, order)
        if not caller.is_connected and not self._handshake(caller):
            return OrderReply(OrderStatus.NOT_SENT)
        if order.kind is OrderKind.STOP:
            send = functools.partial(caller.stop, order.task, order.run, self._token)
        else:
            send = functools.partial(caller.pace, order.task, order.run, order.percent, self._token)
        return self._call_order(send, has_deadline=False)

    def _send_start(self, caller: WorkerCaller, order: Order) -> OrderReply:
        if order.start is None or not self._may_extend():
            return OrderReply(OrderStatus.NOT_SENT)
        is_current = caller.is_connected and not self._lease.needs_reading(time.monotonic())
        if not is_current and not self._handshake(caller):
            return OrderReply(OrderStatus.NOT_SENT)
        if not order.is_wanted():
            return OrderReply(OrderStatus.UNWANTED)
        deadline_ms = self._lease.extend(time.monotonic())
        age_s = self._lease.state.reading_age_s
        if age_s is not None:
            self._metrics.timing_ms("start.clock_age", age_s * _MS_PER_S)
        start = functools.partial(caller.start, order.start, deadline_ms, self._token)
        now_s = time.monotonic()
        if now_s - order.queued_s >= _LONG_WAIT_S:
            self._post(StartSent(self.worker, order.task, order.run, now_s))
        return self._call_order(start, has_deadline=True)

    def _call_order(self, send: Callable[[], OrderReply], *, has_deadline: bool) -> OrderReply:
        """Send an order, unless the session was closed, and record whether it got an answer."""
        number = self._begin_call(has_deadline=has_deadline)
        if number is None:
            return OrderReply(OrderStatus.NOT_SENT)
        status = OrderStatus.UNCLEAR
        try:
            reply = send()
            status = reply.status
        finally:
            self._settle(number, status, self.worker.life)
        return reply

    def _call_poll(
        self, caller: WorkerCaller, deadline_ms: int | None, last_seen: int, wait_s: float
    ) -> PollReply:
        """Poll, unless the session was closed, and record whether there was an answer."""
        number = self._begin_call(has_deadline=deadline_ms is not None)
        if number is None:
            return PollReply(OrderStatus.NOT_SENT, 0, 0, (), ())
        status, life = OrderStatus.UNCLEAR, 0
        try:
            reply = caller.poll(deadline_ms, last_seen, wait_s, self._token)
            status, life = reply.status, reply.life
        finally:
            self._settle(number, status, life)
        return reply

    def _begin_call(self, *, has_deadline: bool) -> int | None:
        """Record a call that is about to be sent; None if the session was closed.

        Explanation
        -----------
        Whether the worker's next life needs a higher token is asked once this session is
        closed, so no call may begin after that.
        """
        with self._changed:
            if self._is_closed:
                return None
            return self._calls.begin(
                self.worker.life, time.monotonic(), self._token, has_deadline=has_deadline
            )

    def _settle(self, number: int, status: OrderStatus, life: int) -> None:
        """Note the answer of a life to a call, or that there was none."""
        if status is OrderStatus.UNCLEAR:
            self._calls.leave_open(number)
        else:
            self._calls.settle(number, life or self.worker.life, time.monotonic())

    def _handshake(self, caller: WorkerCaller) -> bool:
        """Read the worker's start time and clock; False if it fails or the worker restarted.

        Explanation
        -----------
        Only a poll names the life that answers.  It opens each connection, and carries neither
        a deadline nor an acknowledgement then; a connection leads to one life.
        A registration is seconds old: the worker may have restarted since, and a lease
        computed from its old clock value may have expired when it arrives.  So may a
        lease computed from the last answer of a worker that has been idle since.
        """
        reply = self._call_poll(caller, None, self._last_acknowledged_end, 0.0)
        self._metrics.count(f"look.{reply.status}")
        if reply.status is not OrderStatus.DONE:
            self._post(PollFailed(self.worker, reply.status))
            return False
        if self._close_if_restarted(reply, time.monotonic()):
            return False
        self._note_answer(reply, time.monotonic())
        return True

    def _close_if_restarted(self, reply: PollReply, sent_s: float) -> bool:
        """Close the session and post the reply if another incarnation sent it."""
        if is_same_incarnation(self.worker.life, reply.life):
            return False
        with self._changed:
            self._is_closed = True
        self._post(PollAnswered(self.worker, sent_s, reply))
        return True

    def _run_polls(self) -> None:
        caller = self._callers.caller(self.worker)
        while self._wait_for_work():
            if not self._poll_supervised(caller):
                time.sleep(self._settings.look_retry_s)
        caller.close()

    def _wait_for_work(self) -> bool:
        with self._changed:
            while not self._is_closed and not self._is_busy:
                self._changed.wait()
            if not self._is_closed and self._last_listed_end > self._last_acknowledged_end:
                self._changed.wait(self._settings.look_wait_s)
        return not self._is_closed

    def _poll_supervised(self, caller: WorkerCaller) -> bool:
        """Poll once; an unforeseen error counts as no answer, so that the runs are not kept."""
        try:
            return self._poll(caller)
        except Exception:
            report_error()
            self._is_answering = False
            self._post(PollFailed(self.worker, OrderStatus.UNCLEAR))
            return False

    def _poll(self, caller: WorkerCaller) -> bool:
        sent_s = time.monotonic()
        # Polls do not renew the lease of a worker that did not answer the last one, so that
        # the time by which all its runs have ended is known.
        # Nor does the first poll over a new connection: it may lead to another life, of which
        # the deadline would lie far ahead.
        may_extend = self._is_answering and caller.is_connected and self._may_extend()
        # A worker that did not answer is to reply at once, which shows when it is reachable;
        # so is one whose lease a previous owner may still extend, which its answer rules out.
        is_settled = may_extend and not self._lease.may_be_extended_by_previous(sent_s)
        waits = is_settled and self._last_listed_end <= self._last_acknowledged_end
        wait_s = self._settings.look_wait_s if waits else 0.0
        reply = self._send_poll(caller, wait_s, may_extend=may_extend)
        self._metrics.count(f"look.{reply.status}")
        self._is_answering = reply.status is OrderStatus.DONE
        if not self._is_answering:
            self._post(PollFailed(self.worker, reply.status))
            return False
        if self._close_if_restarted(reply, sent_s):
            return True
        self._note_poll(reply)
        self._post(PollAnswered(self.worker, sent_s, reply))
        pause_s = self._settings.look_pause_s - (time.monotonic() - sent_s)
        if pause_s > 0:
            time.sleep(pause_s)
        return True

    def _send_poll(self, caller: WorkerCaller, wait_s: float, *, may_extend: bool) -> PollReply:
        deadline_ms = self._lease.extend(time.monotonic()) if may_extend else None
        return self._call_poll(caller, deadline_ms, self._last_acknowledged_end, wait_s)

    def _note_poll(self, reply: PollReply) -> None:
        self._note_answer(reply, time.monotonic())
        if reply.ended:
            self._last_listed_end = max(end.number for end in reply.ended)

    def _note_answer(self, reply: PollReply, now_s: float) -> None:
        """Note that this life has answered a poll, so that it refuses lower tokens from now on."""
        if self._fenced_s is None:
            self._fenced_s = now_s
        self._lease.note_poll(now_s)
        self._lease.note_clock(reply.clock_ms, now_s)
