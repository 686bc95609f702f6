"""Policies of queues, client accounts and pools, as the configuration sets them."""

from almondstack.placement.resources import Resources

__all__ = ["MIN_WEIGHT", "AccountPolicy", "AdvicePolicy", "Policies", "QueuePolicy"]


MIN_WEIGHT = 1e-9
"""Least weight of an account; shares are divided by the weights."""


class AdvicePolicy:
    """Duration of calls to the advice service, and validity of its tickets.

    Parameters
    ----------
    decision_ms, worker_ms : int
        Duration of a call, and of each worker named in it, in milliseconds.
    valid_ms : int
        Validity of a ticket in milliseconds.
    """

    __slots__ = ("decision_ms", "valid_ms", "worker_ms")

    def __init__(self, decision_ms: int, worker_ms: int, valid_ms: int) -> None:
        self.decision_ms = decision_ms
        self.worker_ms = worker_ms
        self.valid_ms = valid_ms


class QueuePolicy:
    """Policy of a queue.

    Parameters
    ----------
    name : str
        Name of the queue.
    pool : str
        The pool whose workers run its tasks.
    urgency : int
        Queues with a lower value come first; 0 is the most urgent.
    max_attempts : int
        Failed runs of one task after which its job fails; at least 1.
    stretch : float
        Factor on the longest chain of steps in a job's objective.
    objective_ms : int
        Milliseconds added to that product.
    advice : AdvicePolicy or None
        Set if the advice service decides which workers may run a step.
    """

    __slots__ = ("advice", "max_attempts", "name", "objective_ms", "pool", "stretch", "urgency")

    def __init__(
        self,
        name: str,
        pool: str,
        urgency: int = 0,
        max_attempts: int = 1,
        stretch: float = 1.0,
        objective_ms: int = 0,
        advice: AdvicePolicy | None = None,
    ) -> None:
        self.name = name
        self.pool = pool
        self.urgency = urgency
        self.max_attempts = max(max_attempts, 1)
        self.stretch = stretch
        self.objective_ms = objective_ms
        self.advice = advice


class AccountPolicy:
    """Policy of a client account.

    Parameters
    ----------
    name : str
        Name of the account.
    weight : float
        Relative share when capacity is short; at least ``MIN_WEIGHT``, so that an account
        with a weight of 0 or less still gets what the others leave.  Where a short fleet is
        divided, it counts as at least a millionth of the largest.
    ceiling : Resources
        Bound on the demand of its running tasks over all workers; 0 is no bound.
    """

    __slots__ = ("ceiling", "name", "weight")

    def __init__(self, name: str, weight: float = 1.0, ceiling: Resources | None = None) -> None:
        self.name = name
        self.weight = max(weight, MIN_WEIGHT)
        self.ceiling = ceiling or Resources()

    def allows(self, used: Resources, demand: Resources) -> bool:
        """Return whether the account may run ``demand`` in addition to ``used``."""
        ceiling = self.ceiling
        return (
            (not ceiling.cpu_millis or used.cpu_millis + demand.cpu_millis <= ceiling.cpu_millis)
            and (not ceiling.memory_mb or used.memory_mb + demand.memory_mb <= ceiling.memory_mb)
            and (not ceiling.gpus or used.gpus + demand.gpus <= ceiling.gpus)
        )


class Policies:
    """The parts of the configuration that placement and fleet management use.

    Parameters
    ----------
    version : int
        Version of the configuration; rises with each change.
    queues, accounts : dict
        Policies by name.
    pools : dict of str to bool
        For each pool, whether its instances are off and not paid for.
    """

    __slots__ = ("accounts", "pools", "queues", "version")

    def __init__(
        self,
        version: int = 0,
        queues: dict[str, QueuePolicy] | None = None,
        accounts: dict[str, AccountPolicy] | None = None,
        pools: dict[str, bool] | None = None,
    ) -> None:
        self.version = version
        self.queues = queues or {}
        self.accounts = accounts or {}
        self.pools = pools or {}

    @property
    def is_known(self) -> bool:
        """Whether a configuration was read; without one no account's ceiling is known."""
        return self.version != 0 or bool(self.queues)
