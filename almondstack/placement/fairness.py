"""The order among client accounts when a pool is short."""

from collections.abc import Mapping

from almondstack.jobs import Task, TaskStatus
from almondstack.placement.order import Rank
from almondstack.placement.policies import AccountPolicy

__all__ = ["RankedStep", "fair_order"]

RankedStep = tuple[Rank, list[Task]]

_OVER_SHARE = 1.5
"""An account may ask for so many times its share before its work waits for others'."""

_DEFAULT = AccountPolicy("")


def fair_order(
    steps: list[RankedStep],
    running_millis: Mapping[str, int],
    accounts: Mapping[str, AccountPolicy],
) -> list[RankedStep]:
    """Return steps in the order in which they get workers.

    Explanation
    -----------
    Within each band of rank (how late, how urgent) the step with least time
    left goes first, whoever's it is, as long as its account asks for about its
    share of all that is asked for.  What an account asks for beyond that comes
    behind the others' steps, so that one that sends many times its usual waits
    behind its own work.

    Parameters
    ----------
    steps : list of RankedStep
        Steps with a waiting task.
    running_millis : mapping of str to int
        What each account has running in the pool, in thousandths of a core.
    accounts : mapping of str to AccountPolicy
        Weights.
    """
    asked = {name: float(millis) for name, millis in running_millis.items()}
    charges = []
    for rank, tasks in sorted(steps, key=lambda step: step[0]):
        account = tasks[0].job.submission.account
        before = asked.get(account, 0.0)
        charges.append((before / _weight(account, accounts), rank, tasks))
        asked[account] = before + _waiting_millis(tasks)
    total_weight = sum(_weight(account, accounts) for account in asked)
    share = _OVER_SHARE * sum(asked.values()) / max(total_weight, _LEAST_WEIGHT)
    keyed = [(rank[:-1], charge > share, rank[-1], rank, tasks) for charge, rank, tasks in charges]
    keyed.sort(key=lambda entry: entry[:3])
    return [(rank, tasks) for *_, rank, tasks in keyed]


_LEAST_WEIGHT = 1e-9


def _weight(account: str, accounts: Mapping[str, AccountPolicy]) -> float:
    return max(accounts.get(account, _DEFAULT).weight, _LEAST_WEIGHT)


def _waiting_millis(tasks: list[Task]) -> int:
    waiting = sum(task.status is TaskStatus.WAITING for task in tasks)
    return waiting * tasks[0].step.cpu_millis
