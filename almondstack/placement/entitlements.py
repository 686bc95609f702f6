"""What each client account may use of the whole fleet while it is short of capacity.

Explanation
-----------
Work of an account has two parts: long-running tasks (``lasting``), which are covered first, and
all other work.  Amounts are demands of tasks, not what they really use.
"""

import math
from collections.abc import Mapping, Sequence

from almondstack.placement.policies import AccountPolicy
from almondstack.placement.resources import Resources
from almondstack.placement.water_filling import Claim, fill

__all__ = ["AccountDemand", "AccountShare", "Entitlements", "divide_fairly"]

_Amounts = tuple[float, float, float]
"""Thousandths of a core, megabytes of memory, GPUs."""

_MIN_ACCOUNTS = 2
"""Number of accounts with demand from which on accounts compete."""

_MIN_RELATIVE_WEIGHT = 1e-6
"""Least weight relative to the largest one: far smaller ones would be lost in rounding."""

_NO_ACCOUNTS: Mapping[str, AccountPolicy] = {}


class AccountDemand:
    """Demand of a client account over all pools.

    Parameters
    ----------
    account : str
        Name of the account.
    lasting : Resources
        Long-running tasks, running or not: they are covered before all other work, as far as
        the account's ceiling allows.
    running : Resources
        Other running tasks of jobs that can still end within their objective.
    waiting : Resources
        Ready tasks of such jobs that wait for room, and those of jobs expected to arrive.
        Late work is no part of it.
    lasting_running : Resources
        The part of ``lasting`` that runs; it is covered whatever the ceiling.
    """

    __slots__ = ("account", "lasting", "lasting_running", "running", "waiting")

    def __init__(
        self,
        account: str,
        lasting: Resources | None = None,
        running: Resources | None = None,
        waiting: Resources | None = None,
        lasting_running: Resources | None = None,
    ) -> None:
        self.account = account
        self.lasting = lasting or Resources()
        self.running = running or Resources()
        self.waiting = waiting or Resources()
        self.lasting_running = lasting_running or Resources()


class AccountShare:
    """What an account asks for and gets in a shortage.

    Parameters
    ----------
    asked : Resources
        Its demand within its ceiling.
    granted : Resources
        The part of it that the fleet can cover; over all accounts at most the capacity, unless
        the long-running tasks alone are more.
    covered : float
        The part, 0 to 1, that is granted of all its demand other than long-running tasks,
        including what is beyond its ceiling.
    entitled_millis : float
        Thousandths of a core of the whole fleet up to which its work goes before that of
        accounts beyond their entitlement: what is granted, or if that covers all its demand,
        at least what it would get as a newcomer.
    """

    __slots__ = ("asked", "covered", "entitled_millis", "granted")

    def __init__(
        self, asked: Resources, granted: Resources, covered: float, entitled_millis: float
    ) -> None:
        self.asked = asked
        self.granted = granted
        self.covered = covered
        self.entitled_millis = entitled_millis


class Entitlements:
    """The share of each client account in the fleet; no limits unless the fleet is short.

    Parameters
    ----------
    shares : mapping of str to AccountShare, optional
        Shares of the accounts with demand; empty if the fleet is not short.
    newcomer_millis : float, optional
        Thousandths of a core that a newcomer (an account without demand so far) of weight 1
        would get if it asked for the whole fleet.
    accounts : mapping of str to AccountPolicy, optional
        Policies with the weights and ceilings of such accounts.
    capacity : Resources, optional
        What was divided.

    Examples
    --------
    >>> open_to_all = Entitlements()
    >>> open_to_all.is_short, open_to_all.entitled("a"), open_to_all.covered_share("a")
    (False, inf, 1.0)
    """

    __slots__ = ("_accounts", "_capacity", "_newcomer_millis", "_shares")

    def __init__(
        self,
        shares: Mapping[str, AccountShare] | None = None,
        newcomer_millis: float = math.inf,
        accounts: Mapping[str, AccountPolicy] = _NO_ACCOUNTS,
        capacity: Resources | None = None,
    ) -> None:
        self._shares = shares or {}
        self._newcomer_millis = newcomer_millis
        self._accounts = accounts
        self._capacity = capacity or Resources()

    @property
    def capacity(self) -> Resources:
        """What was divided between the accounts; the caller must not change it."""
        return self._capacity

    @property
    def is_short(self) -> bool:
        """Whether the fleet can't cover all demand of two or more accounts."""
        return bool(self._shares)

    @property
    def shares(self) -> Mapping[str, AccountShare]:
        """The shares of the accounts with demand; empty if the fleet is not short."""
        return self._shares

    def entitled(self, account: str) -> float:
        """Return the thousandths of a core that an account may use over the whole fleet.

        Explanation
        -----------
        Infinite without a shortage.  An account without demand has the share that it would
        get if it asked for as much as it can.
        """
        if not self._shares:
            return math.inf
        share = self._shares.get(account)
        if share is not None:
            return share.entitled_millis
        most_millis = self._capacity.cpu_millis or math.inf
        return _newcomer_millis(self._newcomer_millis, most_millis, self._accounts.get(account))

    def covered_share(self, account: str) -> float:
        """Return the part of an account's demand but long-running tasks that is covered, 0 to 1."""
        share = self._shares.get(account)
        return share.covered if share is not None else 1.0

    def is_beyond(self, account: str, millis: float) -> bool:
        """Return whether that many thousandths of a core are more than an account may use."""
        return millis > self.entitled(account)


class _BoundedDemand:
    """A demand within the ceiling of its account, as amounts in the order of ``_amounts``.

    Parameters
    ----------
    account : str
        Name of the account.
    floor : tuple of float
        Long-running tasks that run or that the ceiling leaves room for.
    rest : tuple of float
        The part of the other work that the ceiling leaves room for.
    weight : float
        Weight of the account.
    allowed : float
        That part, 0 to 1.
    """

    __slots__ = ("account", "allowed", "floor", "rest", "weight")

    def __init__(
        self, account: str, floor: _Amounts, rest: _Amounts, weight: float, allowed: float = 1.0
    ) -> None:
        self.account = account
        self.floor = floor
        self.rest = rest
        self.weight = weight
        self.allowed = allowed


def divide_fairly(
    demands: Sequence[AccountDemand],
    capacity: Resources,
    accounts: Mapping[str, AccountPolicy],
) -> Entitlements:
    """Divide the fleet between the client accounts by weight.

    Explanation
    -----------
    Weighted max-min over the dominant resource of each account: "Dominant Resource Fairness"
    (DRF; Ghodsi et al., NSDI 2011).  Ceilings are upper bounds, except for long-running tasks
    that run already.  Long-running tasks are covered first and count against their account's
    share.  No account is limited if fewer than two accounts have demand, if the fleet covers all
    of it, or if no capacity is known.

    Parameters
    ----------
    demands : sequence of AccountDemand
        Demand of each account over all pools, one for each account.
    capacity : Resources
        What tasks can use of the whole fleet; a resource of which there is nothing bounds
        no account.
    accounts : mapping of str to AccountPolicy
        Policies with weights and ceilings; an account without a policy has weight 1.

    Examples
    --------
    >>> light = AccountDemand("light", waiting=Resources(10_000))
    >>> flood = AccountDemand("flood", waiting=Resources(900_000))
    >>> table = divide_fairly([light, flood], Resources(100_000), {})
    >>> round(table.entitled("flood")), table.covered_share("light")
    (90000, 1.0)
    """
    bounded = [_bounded(demand, accounts) for demand in demands]
    bounded = [demand for demand in bounded if any(demand.floor) or any(demand.rest)]
    whole = _amounts(capacity)
    if len(bounded) < _MIN_ACCOUNTS or whole[0] <= 0 or _covers_all(bounded, whole):
        return Entitlements(capacity=capacity)
    left = [
        amount - sum(demand.floor[number] for demand in bounded)
        for number, amount in enumerate(whole)
    ]
    parts = _parts(bounded, whole, left)
    newcomer_millis = _newcomer_part(bounded, whole, left) * whole[0]
    shares = {
        demand.account: _account_share(
            demand, part, _newcomer_millis(newcomer_millis, whole[0], accounts.get(demand.account))
        )
        for demand, part in zip(bounded, parts, strict=True)
    }
    return Entitlements(shares, newcomer_millis, accounts, capacity)


def _amounts(resources: Resources) -> _Amounts:
    return resources.cpu_millis, resources.memory_mb, resources.gpus


def _bounded(demand: AccountDemand, accounts: Mapping[str, AccountPolicy]) -> _BoundedDemand:
    """Return a demand of which no resource is beyond the account's ceiling."""
    floor = _amounts(demand.lasting)
    running = _amounts(demand.running)
    waiting = _amounts(demand.waiting)
    rest = (running[0] + waiting[0], running[1] + waiting[1], running[2] + waiting[2])
    policy = accounts.get(demand.account)
    if policy is None:
        return _BoundedDemand(demand.account, floor, rest, 1.0)
    ceiling = _amounts(policy.ceiling)
    floor = _lasting_within(ceiling, floor, _amounts(demand.lasting_running))
    part = _part_within(ceiling, floor, rest)
    within = (part * rest[0], part * rest[1], part * rest[2])
    return _BoundedDemand(demand.account, floor, within, policy.weight, part)


def _lasting_within(ceiling: _Amounts, lasting: _Amounts, running: _Amounts) -> _Amounts:
    """Return the long-running tasks that run or that a ceiling has room for; 0 is no bound."""
    cpu, memory, gpus = (
        max(held, min(asked, bound)) if bound else asked
        for bound, asked, held in zip(ceiling, lasting, running, strict=True)
    )
    return cpu, memory, gpus


def _part_within(ceiling: _Amounts, floor: _Amounts, rest: _Amounts) -> float:
    """Return the part of ``rest`` that a ceiling leaves room for; 0 in a ceiling is no bound."""
    part = 1.0
    for bound, held, more in zip(ceiling, floor, rest, strict=True):
        if bound and more > 0:
            part = min(part, (bound - held) / more)
    return max(0.0, part)


def _covers_all(bounded: Sequence[_BoundedDemand], whole: _Amounts) -> bool:
    asked = [
        sum(demand.floor[number] + demand.rest[number] for demand in bounded)
        for number in range(len(whole))
    ]
    return all(amount <= 0 or total <= amount for total, amount in zip(asked, whole, strict=True))


def _parts(
    bounded: Sequence[_BoundedDemand], whole: _Amounts, left: Sequence[float]
) -> list[float]:
    largest = max(demand.weight for demand in bounded)
    claims = [
        Claim(_relative_weight(demand.weight, largest), demand.floor, demand.rest, whole)
        for demand in bounded
    ]
    fill(claims, left)
    return [claim.part for claim in claims]


def _relative_weight(weight: float, largest: float) -> float:
    """Return a weight relative to the largest one, in a range that rounding allows."""
    return max(_MIN_RELATIVE_WEIGHT, weight / largest)


def _newcomer_part(
    bounded: Sequence[_BoundedDemand], whole: _Amounts, left: Sequence[float]
) -> float:
    """Return the part of the whole fleet that one more account of weight 1 would get, 0 to 1."""
    newcomer = _BoundedDemand("", (0.0, 0.0, 0.0), whole, 1.0)
    return _parts([*bounded, newcomer], whole, left)[-1]


def _account_share(demand: _BoundedDemand, part: float, newcomer_millis: float) -> AccountShare:
    asked = Resources(
        *(math.floor(held + more) for held, more in zip(demand.floor, demand.rest, strict=True))
    )
    granted = Resources(
        *(
            math.floor(held + part * more)
            for held, more in zip(demand.floor, demand.rest, strict=True)
        )
    )
    entitled_millis = demand.floor[0] + part * demand.rest[0]
    if part >= 1.0:
        entitled_millis = max(entitled_millis, newcomer_millis)
    return AccountShare(asked, granted, part * demand.allowed, entitled_millis)


def _newcomer_millis(millis: float, most_millis: float, policy: AccountPolicy | None) -> float:
    """Return what a newcomer with a policy would get, in thousandths of a core.

    Parameters
    ----------
    millis : float
        What a newcomer of weight 1 would get.
    most_millis : float
        What the whole fleet has.
    policy : AccountPolicy or None
        Policy with the weight and the ceiling; None is weight 1 without a ceiling.
    """
    if policy is None:
        return millis
    share = min(most_millis, millis * policy.weight)
    if policy.ceiling.cpu_millis:
        share = min(share, max(0, policy.ceiling.cpu_millis))
    return share
