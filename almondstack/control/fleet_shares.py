"""Divides the fleet between the client accounts, and their shares between the pools."""

from collections.abc import Mapping

from almondstack.capacity import HEADROOM, MIN_INSTANCES, ArrivalMix, PoolNeed
from almondstack.control.account_demands import AccountDemands
from almondstack.placement import Policies, Resources
from almondstack.placement.entitlements import Entitlements, divide_fairly

__all__ = ["FleetCapacity", "FleetShares", "may_be_short"]

_PoolAccount = tuple[str, str]
"""A pool and an account."""

_Millis = dict[_PoolAccount, float]
"""Demand of accounts in pools, in thousandths of a core."""


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
    """Computes what each client account is entitled to, over the fleet and in each pool.

    Explanation
    -----------
    The only state is the mix of accounts in the recent arrivals of each queue, by which the
    forecast demand of a queue is attributed to accounts.
    """

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
            Need of each account in each pool, by pool and account; that in pools that are off
            takes nothing of the fleet and doesn't count.
        demands : AccountDemands
            Demand of each account over all pools.
        arriving_millis : mapping of str to float
            Forecast demand of each queue, in thousandths of a core.
        policies : Policies
            Weights, ceilings and pools.
        capacity : FleetCapacity
            What there is to divide.
        """
        paid = _paid_needs(by_account, policies)
        arriving = self._arriving(arriving_millis, policies)
        asked = _asked_millis(paid, arriving, demands)
        whole = _divided_resources(needs, policies, capacity)
        table = divide_fairly(demands.all(), whole, policies.accounts)
        if table.is_short:
            pressing = _pressing_millis(asked, arriving, demands)
            parts = _covered_pressing(asked, pressing, table)
            _set_entitled(needs, paid, pressing, parts, demands)
        return table

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


def may_be_short(
    needs: Mapping[str, PoolNeed], policies: Policies, capacity: FleetCapacity
) -> bool:
    """Return whether the pools that are paid for ask for more than the fleet has.

    Explanation
    -----------
    This check is cheap; a fleet that covers its demand computes no shares.
    """
    paid = [need for pool, need in needs.items() if not policies.pools[pool]]
    whole = _divided_resources(needs, policies, capacity)
    usable = whole.cpu_millis / max(1.0, capacity.resources.cpu_millis / HEADROOM)
    lacks_cores = sum(need.total_millis for need in paid) > whole.cpu_millis
    return lacks_cores or sum(need.filled_instances for need in paid) > usable * capacity.instances


def _divided_resources(
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


def _paid_needs(
    by_account: Mapping[_PoolAccount, PoolNeed], policies: Policies
) -> dict[_PoolAccount, PoolNeed]:
    """Return the needs in pools that are paid for."""
    return {key: need for key, need in by_account.items() if not policies.pools.get(key[0], True)}


def _asked_millis(
    by_account: Mapping[_PoolAccount, PoolNeed],
    arriving: Mapping[_PoolAccount, float],
    demands: AccountDemands,
) -> _Millis:
    """Return the demand of each account in each pool, without long-running tasks.

    Explanation
    -----------
    It is what is present or what is forecast, whichever is more; what the forecast adds is
    counted in ``demands``.
    """
    asked = {
        key: float(need.running_millis + need.waiting_millis) for key, need in by_account.items()
    }
    for key, millis in arriving.items():
        more = millis - asked.get(key, 0.0)
        if more > 0:
            asked[key] = millis
            demands.add_arriving(key[1], more)
    return asked


def _pressing_millis(
    asked: _Millis, arriving: Mapping[_PoolAccount, float], demands: AccountDemands
) -> _Millis:
    """Return the part of that demand which can't wait; at least what is forecast."""
    return {
        (pool, account): max(
            millis - demands.can_wait(pool, account).millis,
            arriving.get((pool, account), 0.0),
        )
        for (pool, account), millis in asked.items()
    }


def _covered_pressing(asked: _Millis, pressing: _Millis, table: Entitlements) -> dict[str, float]:
    """Return the part of the pressing demand that each account is entitled to, 0 to 1."""
    asked_sums = _sums_by_account(asked)
    pressing_sums = _sums_by_account(pressing)
    parts = {}
    for account, millis in asked_sums.items():
        entitled_millis = table.covered_share(account) * millis
        parts[account] = min(1.0, entitled_millis / max(1.0, pressing_sums[account]))
    return parts


def _sums_by_account(millis: _Millis) -> dict[str, float]:
    sums: dict[str, float] = {}
    for (_, account), amount in millis.items():
        sums[account] = sums.get(account, 0.0) + amount
    return sums


def _set_entitled(
    needs: Mapping[str, PoolNeed],
    by_account: Mapping[_PoolAccount, PoolNeed],
    pressing: _Millis,
    parts: Mapping[str, float],
    demands: AccountDemands,
) -> None:
    """Set the part of each pool's need that its accounts are entitled to."""
    for need in needs.values():
        need.entitled = PoolNeed(need.lasting_millis, min_instances=need.min_instances)
    for (pool, account), millis in pressing.items():
        entitled = needs[pool].entitled if pool in needs else None
        if entitled is not None:
            entitled.arriving_millis += parts[account] * millis
    for (pool, account), need in by_account.items():
        entitled = needs[pool].entitled if pool in needs else None
        if entitled is not None:
            lasting = need.lasting_filled_instances
            can_wait = demands.can_wait(pool, account).filled_instances
            others = max(0.0, need.filled_instances - lasting - can_wait)
            entitled.filled_instances += lasting + parts[account] * others
