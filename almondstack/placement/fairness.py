"""Orders the steps of a pool by fair shares of the client accounts."""

from collections.abc import Mapping

from almondstack.jobs import Task, TaskStatus
from almondstack.placement.entitlements import Entitlements
from almondstack.placement.order import Rank
from almondstack.placement.policies import MIN_WEIGHT, AccountPolicy

__all__ = ["RankedStep", "fair_order"]

RankedStep = tuple[Rank, list[Task]]
"""A step's rank, and its tasks."""

_SHARE_FACTOR = 1.5
"""An account's demand beyond this multiple of its share waits for other accounts' work."""

_DEFAULT = AccountPolicy("")

_OPEN_TO_ALL = Entitlements()

_NOTHING_RUNS: Mapping[str, int] = {}


def fair_order(
    steps: list[RankedStep],
    running_millis: Mapping[str, int],
    accounts: Mapping[str, AccountPolicy],
    entitlements: Entitlements = _OPEN_TO_ALL,
    fleet_millis: Mapping[str, int] = _NOTHING_RUNS,
) -> list[RankedStep]:
    """Return steps in the order in which they get workers.

    Explanation
    -----------
    Within each band of rank (how late, how urgent) the step with the least slack
    goes first, regardless of its account, as long as the account's demand stays
    near its weighted share of the total demand.  Steps beyond that follow the
    steps of all accounts within their shares, so that an account that submits many
    times its usual load waits behind its own work.

    While accounts compete for a short fleet, their entitlements in it replace the shares
    in the pool, and come before the urgency of queues: an account is not served before
    others because it floods an urgent queue.  A step that only begins within the entitlement
    of its account is returned in two parts, the rest with the steps beyond it; a gang is not
    split.

    Parameters
    ----------
    steps : list of RankedStep
        Steps with a waiting task.
    running_millis : mapping of str to int
        Running demand of each account in the pool, in thousandths of a core.
    accounts : mapping of str to AccountPolicy
        Policies with the weights; an account without a policy has weight 1.
    entitlements : Entitlements, optional
        What each account may use of the whole fleet.
    fleet_millis : mapping of str to int, optional
        Running demand of each account in all pools, in thousandths of a core; used only
        while the fleet is short.
    """
    if entitlements.is_short:
        return _entitled_order(steps, fleet_millis, entitlements)
    return _shared_order(steps, running_millis, accounts)


def _shared_order(
    steps: list[RankedStep],
    running_millis: Mapping[str, int],
    accounts: Mapping[str, AccountPolicy],
) -> list[RankedStep]:
    """Return steps so that in each band those near their account's share of the pool come first."""
    asked = {name: float(millis) for name, millis in running_millis.items()}
    charges = []
    for rank, tasks in sorted(steps, key=lambda step: step[0]):
        account = tasks[0].job.submission.account
        before = asked.get(account, 0.0)
        per_weight = before / _weight(account, accounts)
        charges.append((per_weight, rank, tasks))
        asked[account] = before + _waiting_millis(tasks)
    total_weight = sum(_weight(account, accounts) for account in asked)
    share = _SHARE_FACTOR * sum(asked.values()) / max(total_weight, MIN_WEIGHT)
    keyed = [(rank[:-1], charge > share, rank[-1], rank, tasks) for charge, rank, tasks in charges]
    keyed.sort(key=lambda entry: entry[:3])
    return [(rank, tasks) for *_, rank, tasks in keyed]


def _entitled_order(
    steps: list[RankedStep], fleet_millis: Mapping[str, int], entitlements: Entitlements
) -> list[RankedStep]:
    """Return steps so that in each band those within their account's entitlement come first."""
    asked: dict[str, int] = dict(fleet_millis)
    keyed = []
    for rank, tasks in sorted(steps, key=lambda step: step[0]):
        account = tasks[0].job.submission.account
        before = asked.get(account, 0)
        within, beyond = _split(tasks, entitlements.entitled(account) - before)
        if within:
            keyed.append((rank[0], False, rank[1:], rank, within))
        if beyond:
            keyed.append((rank[0], True, rank[1:], rank, beyond))
        if not tasks[0].step.is_filler:
            asked[account] = before + _waiting_millis(tasks)
    keyed.sort(key=lambda entry: entry[:3])
    return [(rank, tasks) for *_, rank, tasks in keyed]


def _split(tasks: list[Task], left_millis: float) -> tuple[list[Task], list[Task]]:
    """Return the tasks of a step that are within an entitlement of which that much is left.

    Explanation
    -----------
    The first task beyond it still counts as within, so that no entitlement is too small for
    a task.  Long-running tasks are never beyond.
    """
    step = tasks[0].step
    if step.is_long_running:
        return tasks, []
    if left_millis < 0:
        return [], tasks
    if step.is_gang or step.is_filler or _waiting_millis(tasks) - step.cpu_millis <= left_millis:
        return tasks, []
    waiting = [task for task in tasks if task.status is TaskStatus.WAITING]
    count = int(left_millis // step.cpu_millis) + 1
    return waiting[:count], waiting[count:]


def _weight(account: str, accounts: Mapping[str, AccountPolicy]) -> float:
    return accounts.get(account, _DEFAULT).weight


def _waiting_millis(tasks: list[Task]) -> int:
    waiting = sum(task.status is TaskStatus.WAITING for task in tasks)
    return waiting * tasks[0].step.cpu_millis
