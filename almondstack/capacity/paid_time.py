"""Divides the paid instances of a pool by what they are used for."""

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

__all__ = ["PaidInstance", "PaidUse", "paid_uses"]


class PaidUse(StrEnum):
    """Use of a part of an instance at one moment."""

    LASTING = "lasting"
    RUNNING = "running"
    SPARE = "spare"
    EXCESS = "excess"
    COMING = "coming"
    LEAVING = "leaving"
    MAINTAINED = "maintained"
    UNUSABLE = "unusable"


class PaidInstance(NamedTuple):
    """An instance of a pool that is paid for.

    Parameters
    ----------
    long_running_share, other_share : float
        Shares of its capacity taken by long-running tasks and by other tasks.
    state : PaidUse or None
        Use of its free part if the instance accepts no new work; None if it does.
    """

    long_running_share: float = 0.0
    other_share: float = 0.0
    state: PaidUse | None = None


def paid_uses(instances: Iterable[PaidInstance], wanted: int) -> dict[PaidUse, float]:
    """Return the number of instances for each use; the sum is the number of instances.

    Explanation
    -----------
    Of the instances that accept work, the emptiest ones beyond the number that the
    pool wants count as excess, the free parts of the others as spare.

    Examples
    --------
    >>> instances = [PaidInstance(0.25, 0.5), PaidInstance(), PaidInstance(state=PaidUse.COMING)]
    >>> {use.value: share for use, share in paid_uses(instances, wanted=2).items()}
    {'coming': 1.0, 'lasting': 0.25, 'running': 0.5, 'spare': 0.25, 'excess': 1.0}
    """
    uses: dict[PaidUse, float] = {}
    serving = []
    for instance in instances:
        if instance.state is None:
            serving.append(instance)
        else:
            _add(uses, instance, instance.state)
    serving.sort(
        key=lambda instance: instance.long_running_share + instance.other_share, reverse=True
    )
    coming = round(uses.get(PaidUse.COMING, 0.0))
    for number, instance in enumerate(serving):
        is_wanted = number < wanted - coming
        _add(uses, instance, PaidUse.SPARE if is_wanted else PaidUse.EXCESS)
    return uses


def _add(uses: dict[PaidUse, float], instance: PaidInstance, rest: PaidUse) -> None:
    free = max(0.0, 1.0 - instance.long_running_share - instance.other_share)
    parts = {
        PaidUse.LASTING: instance.long_running_share,
        PaidUse.RUNNING: instance.other_share,
        rest: free,
    }
    for use, share in parts.items():
        if share:
            uses[use] = uses.get(use, 0.0) + share
