"""What the configuration says of queues and client accounts."""

from almondstack.placement.resources import Resources

__all__ = ["AccountPolicy", "AdvicePolicy", "Policies", "QueuePolicy"]


class AdvicePolicy:
    """How long the advice service takes for a step, and how long its tickets last.

    Parameters
    ----------
    decision_ms, worker_ms : int
        Milliseconds for a call, and for each worker named in it.
    valid_ms : int
        Milliseconds for which a ticket holds.
    """

    __slots__ = ("decision_ms", "valid_ms", "worker_ms")

    def __init__(self, decision_ms: int, worker_ms: int, valid_ms: int) -> None:
        self.decision_ms = decision_ms
        self.worker_ms = worker_ms
        self.valid_ms = valid_ms


class QueuePolicy:
    """A queue of the configuration.

    Parameters
    ----------
    name : str
        Its name.
    pool : str
        The pool whose workers run its tasks.
    urgency : int
        0 comes first.
    max_attempts : int
        Runs of one task that may end as failed.
    stretch : float
        Factor on the longest chain of work in a job's objective.
    objective_ms : int
        Milliseconds added to that.
    advice : AdvicePolicy or None
        Set where only some workers may run a step.
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
        self.max_attempts = max_attempts
        self.stretch = stretch
        self.objective_ms = objective_ms
        self.advice = advice


class AccountPolicy:
    """A client account of the configuration.

    Parameters
    ----------
    name : str
        Its name.
    weight : float
        Its share when capacity is short.
    ceiling : Resources
        What it may have running over all workers; 0 is no bound.
    """

    __slots__ = ("ceiling", "name", "weight")

    def __init__(self, name: str, weight: float = 1.0, ceiling: Resources | None = None) -> None:
        self.name = name
        self.weight = weight
        self.ceiling = ceiling or Resources()

    def allows(self, used: Resources, demand: Resources) -> bool:
        """Whether the account may have that much more running."""
        ceiling = self.ceiling
        return (
            (not ceiling.cpu_millis or used.cpu_millis + demand.cpu_millis <= ceiling.cpu_millis)
            and (not ceiling.memory_mb or used.memory_mb + demand.memory_mb <= ceiling.memory_mb)
            and (not ceiling.gpus or used.gpus + demand.gpus <= ceiling.gpus)
        )


class Policies:
    """All of the configuration that placement and fleet go by.

    Parameters
    ----------
    version : int
        Rises with each configuration.
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
