"""Baseline dispatcher: first come, first served, without permits, shares or health.

Explanation
-----------
``almondstack-bench`` compares it with the fair dispatcher to show the effect of
the fair scheduler, the permits and the health checks.
"""

import itertools
from collections.abc import Iterator

from almondstack.core import Clock, Reason, RequestError
from almondstack.dispatch.call import Call, UpstreamResponse
from almondstack.dispatch.connections import ConnectionPool
from almondstack.dispatch.exchange import Reply, exchange
from almondstack.dispatch.failures import BrokenExchangeError, NotSentError
from almondstack.dispatch.settings import ConnectionSettings
from almondstack.fold import Fold

__all__ = ["FirstComeDispatcher"]


class _FirstComeResponse:
    """Streams a response and closes its connection."""

    __slots__ = ("_connections", "_reply")

    def __init__(self, reply: Reply, connections: ConnectionPool) -> None:
        self._reply = reply
        self._connections = connections

    @property
    def status(self) -> int:
        """HTTP status of the upstream."""
        return self._reply.status

    @property
    def headers(self) -> tuple[tuple[str, str], ...]:
        """End-to-end headers."""
        return self._reply.headers

    @property
    def length(self) -> int | None:
        """Length of the body in bytes; None if it is not declared in the head."""
        return self._reply.length

    def chunks(self) -> Iterator[bytes]:
        """Yield the body; raise RequestError if the upstream aborts before its end."""
        return self._reply.chunks()

    def close(self) -> None:
        """Close the connection."""
        self._connections.discard(self._reply.connection)


class FirstComeDispatcher:
    """Sends each call immediately to the next instance of its pool, in round-robin order.

    Parameters
    ----------
    fold : Fold
        Current state of pools and instances.
    clock : Clock
        Time source for deadlines.
    """

    __slots__ = ("_clock", "_connections", "_fold", "_turn")

    def __init__(self, fold: Fold, clock: Clock) -> None:
        self._fold = fold
        self._clock = clock
        self._connections = ConnectionPool(ConnectionSettings(), clock)
        self._turn = itertools.count()

    def submit(self, call: Call) -> UpstreamResponse:
        """Run ``call`` on an upstream.

        Raises
        ------
        RequestError
            No upstream responded.
        """
        owned = self._fold.state.instances_of(call.pool)
        candidates = [item for item in owned if item.is_taking_work]
        if not candidates:
            raise RequestError(Reason.NO_UPSTREAM)
        call.before_start()
        for _ in candidates:
            chosen = candidates[next(self._turn) % len(candidates)]
            try:
                return self._send(call, chosen.spec.address)
            except NotSentError:
                continue
            except BrokenExchangeError as error:
                raise RequestError(error.reason) from error
        raise RequestError(Reason.UPSTREAMS_FAILING)

    def cancel(self, call_id: str) -> bool:
        """Return False, as every call starts immediately."""
        return False

    def abandon(self, call: Call) -> None:
        """Do nothing, as no call waits."""

    def _send(self, call: Call, address: str) -> UpstreamResponse:
        connection = self._connections.take(address, is_idempotent=False)
        bound_s = self._fold.state.pools[call.pool].run_time_bound_s
        try:
            until_s = self._clock.monotonic() + bound_s
            reply = exchange(call, connection, until_s, self._clock)
        except BaseException:
            self._connections.discard(connection)
            raise
        return _FirstComeResponse(reply, self._connections)
