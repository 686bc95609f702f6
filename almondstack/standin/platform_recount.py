"""Independent check of availability budgets, from the acts that the platform executed.

Explanation
-----------
The check uses only the budgets and the acts, and no state of the product: no records,
phases or fold.  Each act that stops an instance is checked when it takes effect.
"""

import msgspec

__all__ = ["PoolBudget", "Recount", "Violation"]


class PoolBudget(msgspec.Struct, frozen=True, kw_only=True):
    """Minimum number of available instances of a pool."""

    name: str
    min_serving: int


class Violation(msgspec.Struct, frozen=True, kw_only=True):
    """An act that broke a rule.

    Parameters
    ----------
    act : str
        Id of the act.
    rule : str
        ``budget``, ``not-drained``, ``not-empty``, ``moved-busy`` or ``twice``.
    detail : str
        Observed values, such as the number of available instances and the budget.
    """

    act: str
    rule: str
    detail: str = ""


class Recount:
    """Counts available instances per pool and records acts that break a rule.

    Parameters
    ----------
    grace_s : float
        Time in seconds after an instance's failure in which the instance still counts as
        available when an act is checked against the budget.
    """

    __slots__ = (
        "_acts",
        "_budgets",
        "_down_since_s",
        "_grace_s",
        "_pools",
        "_stopped",
        "_violations",
    )

    def __init__(self, grace_s: float = 0.0) -> None:
        self._grace_s = grace_s
        self._budgets: dict[str, int] = {}
        self._pools: dict[str, str] = {}
        self._stopped: set[str] = set()
        self._down_since_s: dict[str, float] = {}
        self._acts: set[str] = set()
        self._violations: list[Violation] = []

    @property
    def violations(self) -> list[Violation]:
        """Acts that broke a rule, oldest first."""
        return self._violations

    @property
    def budgets(self) -> dict[str, int]:
        """Minimum number of available instances, by pool."""
        return dict(self._budgets)

    def set_budgets(self, budgets: tuple[PoolBudget, ...]) -> None:
        """Replace the budgets of all pools."""
        self._budgets = {budget.name: budget.min_serving for budget in budgets}

    def place(self, instance: str, pool: str) -> None:
        """Add an available instance to a pool."""
        self._pools[instance] = pool

    def fail(self, instance: str, now_s: float) -> None:
        """Record that an instance failed without an act."""
        self._down_since_s.setdefault(instance, now_s)

    def recover(self, instance: str) -> None:
        """Record that an instance has recovered from a failure."""
        self._down_since_s.pop(instance, None)

    def available(self, pool: str, now_s: float | None = None) -> int:
        """Return the number of available instances of a pool.

        Instances count unless they are stopped or have failed; with ``now_s``, failures
        within the grace period are ignored.
        """
        return sum(
            instance_pool == pool and name not in self._stopped and not self._is_down(name, now_s)
            for name, instance_pool in self._pools.items()
        )

    def counts(self) -> dict[str, int]:
        """Return the number of available instances of each pool with a budget."""
        return {name: self.available(name) for name in self._budgets}

    def drained(self, act: str, instance: str, now_s: float) -> None:
        """Check the drain of an instance against the budget of its pool."""
        self._record_act(act)
        was_available = instance not in self._stopped and not self._is_down(instance, now_s)
        self._stopped.add(instance)
        pool = self._pools.get(instance, "")
        remaining = self.available(pool, now_s)
        budget = self._budgets.get(pool, 0)
        if was_available and remaining < budget:
            self._add_violation(act, "budget", f"{pool} has {remaining} of {budget}")

    def stopped(self, act: str, instance: str, running: int) -> None:
        """Check that an instance was drained and empty when it was rebooted or released.

        Parameters
        ----------
        act : str
            Id of the act.
        instance : str
            Name of the instance.
        running : int
            Number of requests that the instance runs.
        """
        self._record_act(act)
        if instance not in self._stopped:
            self._add_violation(act, "not-drained", instance)
        if running:
            self._add_violation(act, "not-empty", f"{instance} runs {running}")

    def resumed(self, act: str, instance: str, pool: str, running: int) -> None:
        """Record that an instance accepts work again, in ``pool`` unless it is empty.

        A move to another pool is a violation if the instance was not drained or still
        runs requests.
        """
        self._record_act(act)
        is_moved = pool not in ("", self._pools.get(instance))
        if is_moved and (running or instance not in self._stopped):
            self._add_violation(act, "moved-busy", f"{instance} runs {running}")
        self._stopped.discard(instance)
        if pool:
            self._pools[instance] = pool

    def _is_down(self, instance: str, now_s: float | None) -> bool:
        since_s = self._down_since_s.get(instance)
        return since_s is not None and (now_s is None or now_s - since_s > self._grace_s)

    def _record_act(self, act: str) -> None:
        if act in self._acts:
            self._add_violation(act, "twice")
        self._acts.add(act)

    def _add_violation(self, act: str, rule: str, detail: str = "") -> None:
        self._violations.append(Violation(act=act, rule=rule, detail=detail))
