"""Divides the fleet between the client accounts, and their shares between the pools."""

from collections.abc import Mapping

from almondstack.capacity import HEADROOM, MIN_INSTANCES, ArrivalMix, PoolNeed
from almondstack.control.account_demands import AccountDemands
from almondstack.placement import Policies, Resources
from almondstack.placement.entitlements import Entitlements, divide_fairly

__all__ = ["FleetCapacity", "FleetShares"]

_PoolAccount = tuple[str, str]


class FleetCapacity:
    """What the usable instances of the fleet have, those of the spare pool included.

    Parameters
    ----------
    instances : int
        Number of instances.
    resources : Resources
        Their capacity in total.
    """

    __slots__ = ("instances", "resources")

    def __init__(self, instances: int = 0, resources: Resources | None = None) -> None:
        self.instances = instances
        self.resources = resources or Resources()

    @property
    def size_millis(self) -> float:
        """Thousandths of a core of an instance on average."""
        return self.resources.cpu_millis / max(1, self.instances)


class FleetShares:
    """Computes what each client account is entitled to, over the fleet and in each pool."""

    __slots__ = ("_mixes",)

    def __init__(self) -> None:
        self._mixes: dict[str, ArrivalMix] = {}

    def note_job(self, queue: str, account: str, core_ms: float) -> None:
        """Record a new job of a queue with its work in milliseconds of one core."""
        self._mixes.setdefault(queue, ArrivalMix()).add(account, core_ms)

    def divide(
        self,
        needs: Mapping[str, PoolNeed],
        by_account: Mapping[_PoolAccount, PoolNeed],
        demands: AccountDemands,
        arriving_millis: Mapping[str, float],
        policies: Policies,
        capacity: FleetCapacity,
    ) -> Entitlements:
        """Return the entitlements, and set the entitled part of each pool's need if short.

        Parameters
        ----------
        needs : mapping of str to PoolNeed
            Need of each pool.
        by_account : mapping of tuple to PoolNeed
            Need of each account in each pool, by pool and account.
        demands : AccountDemands
            Demand of each account over all pools.
        arriving_millis : mapping of str to float
            Forecast demand of each queue, in thousandths of a core.
        policies : Policies
            Weights, ceilings and pools.
        capacity : FleetCapacity
            What there is to divide.
        """
        if not demands.is_competing:
            return Entitlements()
        short = self._short_millis(by_account, demands, arriving_millis, policies)
        whole = _dividable(needs, policies, capacity)
        table = divide_fairly(demands.all(), whole, policies.accounts)
        if table.is_short:
            _set_entitled(needs, by_account, short, table)
        return table

    def _short_millis(
        self,
        by_account: Mapping[_PoolAccount, PoolNeed],
        demands: AccountDemands,
        arriving_millis: Mapping[str, float],
        policies: Policies,
    ) -> dict[_PoolAccount, float]:
        """Return the demand other than lasting work of each account in each pool.

        Explanation
        -----------
        It is what is present or what is forecast, whichever is more; what the forecast adds
        is counted in ``demands``.
        """
        short = {
            key: float(need.running_millis + need.waiting_millis)
            for key, need in by_account.items()
        }
        for key, millis in self._arriving(arriving_millis, policies).items():
            more = millis - short.get(key, 0.0)
            if more > 0:
                short[key] = millis
                demands.add_arriving(key[1], more)
        return short

    def _arriving(
        self, arriving_millis: Mapping[str, float], policies: Policies
    ) -> dict[_PoolAccount, float]:
        """Return the forecast demand of each account in each pool that is paid for."""
        arriving: dict[_PoolAccount, float] = {}
        for queue, millis in arriving_millis.items():
            policy = policies.queues.get(queue)
            mix = self._mixes.get(queue)
            if policy is None or mix is None or policies.pools.get(policy.pool, True):
                continue
            for account, share in mix.shares().items():
                key = policy.pool, account
                arriving[key] = arriving.get(key, 0.0) + share * millis
        return arriving


def _dividable(
    needs: Mapping[str, PoolNeed], policies: Policies, capacity: FleetCapacity
) -> Resources:
    """Return what accounts can use of the fleet.

    Explanation
    -----------
    Pools keep ``MIN_INSTANCES`` without demand, and tasks don't fill instances evenly.
    """
    least_millis = MIN_INSTANCES * capacity.size_millis
    idle_millis = sum(
        max(0.0, least_millis - HEADROOM * need.total_millis)
        for pool, need in needs.items()
        if not policies.pools[pool]
    )
    whole = capacity.resources
    usable = max(0.0, 1.0 - idle_millis / max(1, whole.cpu_millis))
    return Resources(
        round(usable * whole.cpu_millis / HEADROOM),
        round(usable * whole.memory_mb),
        round(usable * whole.gpus),
    )


def _set_entitled(
    needs: Mapping[str, PoolNeed],
    by_account: Mapping[_PoolAccount, PoolNeed],
    short: Mapping[_PoolAccount, float],
    table: Entitlements,
) -> None:
    """Set the part of each pool's need that its accounts are entitled to."""
    for need in needs.values():
        need.entitled = PoolNeed(need.lasting_millis, min_instances=need.min_instances)
    for (pool, account), millis in short.items():
        entitled = needs[pool].entitled if pool in needs else None
        if entitled is not None:
            entitled.arriving_millis += table.covered_share(account) * millis
    for (pool, account), need in by_account.items():
        entitled = needs[pool].entitled if pool in needs else None
        if entitled is not None:
            lasting = need.lasting_filled_instances
            others = need.filled_instances - lasting
            entitled.filled_instances += lasting + table.covered_share(account) * others
