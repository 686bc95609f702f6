"""Baseline: first come, first served, without permits, shares or health.

Explanation
-----------
Kept for comparison in ``almondstack-bench``: it shows what the fair scheduler,
the permits and the health checks are worth.
"""

import itertools

from almondstack.core import Clock, Reason, RequestError
from almondstack.dispatch.call import Call, UpstreamAnswer
from almondstack.dispatch.failures import NotSentError
from almondstack.dispatch.upstream import UpstreamClient
from almondstack.fold import Fold

__all__ = ["FirstComeDispatcher"]


class FirstComeDispatcher:
    """Sends each call at once to the next instance of its pool in turn.

    Parameters
    ----------
    fold : Fold
        Knows the pools.
    client : UpstreamClient
        Sends.
    clock : Clock
        Measures deadlines.
    """

    __slots__ = ("_client", "_clock", "_fold", "_turn")

    def __init__(self, fold: Fold, client: UpstreamClient, clock: Clock) -> None:
        self._fold = fold
        self._client = client
        self._clock = clock
        self._turn = itertools.count()

    def submit(self, call: Call) -> UpstreamAnswer:
        """Run ``call`` on an upstream.

        Raises
        ------
        RequestError
            No upstream answered.
        """
        owned = self._fold.state.instances_of(call.pool)
        takers = [item for item in owned if item.is_taking_work]
        if not takers:
            raise RequestError(Reason.NO_UPSTREAM)
        bound_s = self._fold.state.pools[call.pool].run_time_bound_s
        call.before_start()
        for _ in takers:
            chosen = takers[next(self._turn) % len(takers)]
            try:
                return self._client.send(call, chosen.spec.address, bound_s)
            except NotSentError:
                continue
        raise RequestError(Reason.UPSTREAMS_FAILING)

    def cancel(self, call_id: str) -> bool:
        """Return False: a call starts at once."""
        return False

    def abandon(self, call: Call) -> None:
        """Do nothing: no call waits."""
