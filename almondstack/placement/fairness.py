"""The order among client accounts when a pool is short."""

from collections.abc import Mapping

from almondstack.jobs import Task, TaskStatus
from almondstack.placement.order import Rank
from almondstack.placement.policies import AccountPolicy

__all__ = ["RankedStep", "fair_order"]

RankedStep = tuple[Rank, list[Task]]
_DEFAULT = AccountPolicy("")


def fair_order(
    steps: list[RankedStep],
    running_millis: Mapping[str, int],
    accounts: Mapping[str, AccountPolicy],
) -> list[RankedStep]:
    """Return steps in the order in which they get workers.

    Explanation
    -----------
    Start-time fair queueing over the accounts, within each band of rank (how
    late, how urgent): what an account has running, and what comes before in
    its own order, is divided by its weight, and the least goes first.  So an
    account that sends many times its usual waits behind its own work.

    Parameters
    ----------
    steps : list of RankedStep
        Steps with a waiting task.
    running_millis : mapping of str to int
        What each account has running in the pool, in thousandths of a core.
    accounts : mapping of str to AccountPolicy
        Weights.
    """
    charged = {name: float(millis) for name, millis in running_millis.items()}
    keyed = []
    for rank, tasks in sorted(steps, key=lambda step: step[0]):
        account = tasks[0].job.submission.account
        weight = max(accounts.get(account, _DEFAULT).weight, 1e-9)
        before = charged.get(account, 0.0)
        keyed.append((rank[:-1], before / weight, rank[-1], rank, tasks))
        charged[account] = before + _waiting_millis(tasks)
    keyed.sort(key=lambda entry: entry[:3])
    return [(rank, tasks) for *_, rank, tasks in keyed]


def _waiting_millis(tasks: list[Task]) -> int:
    waiting = sum(task.status is TaskStatus.WAITING for task in tasks)
    return waiting * tasks[0].step.cpu_millis
