"""Recounts availability per pool from the acts that the platform took.

Explanation
-----------
It knows the budgets and the acts, and nothing of the product: no record, no
phase, no fold.  Each act that stops an instance is judged when it takes effect.
"""

import msgspec

__all__ = ["PoolBudget", "Recount", "Violation"]


class PoolBudget(msgspec.Struct, frozen=True, kw_only=True):
    """The least number of available instances of a pool."""

    name: str
    min_serving: int


class Violation(msgspec.Struct, frozen=True, kw_only=True):
    """An act that must not have happened.

    Parameters
    ----------
    act : str
        Id of the act.
    rule : str
        ``budget``, ``not-drained``, ``not-empty``, ``moved-busy`` or ``twice``.
    detail : str
        What was counted.
    """

    act: str
    rule: str
    detail: str = ""


class Recount:
    """Counts what is available and judges acts.

    Parameters
    ----------
    grace_s : float
        A failure younger than this, in seconds, is not held against an act.
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
        """Every act that broke a rule."""
        return self._violations

    @property
    def budgets(self) -> dict[str, int]:
        """The budget of each pool."""
        return dict(self._budgets)

    def set_budgets(self, budgets: tuple[PoolBudget, ...]) -> None:
        """Replace the budgets."""
        self._budgets = {budget.name: budget.min_serving for budget in budgets}

    def place(self, instance: str, pool: str) -> None:
        """Put an instance into a pool, available."""
        self._pools[instance] = pool

    def fail(self, instance: str, now_s: float) -> None:
        """Note that an instance broke by itself."""
        self._down_since_s.setdefault(instance, now_s)

    def recover(self, instance: str) -> None:
        """Note that an instance works again."""
        self._down_since_s.pop(instance, None)

    def available(self, pool: str, now_s: float | None = None) -> int:
        """Return how many instances of ``pool`` are neither stopped nor long broken."""
        return sum(
            instance_pool == pool and name not in self._stopped and not self._is_down(name, now_s)
            for name, instance_pool in self._pools.items()
        )

    def counts(self) -> dict[str, int]:
        """Return the number of available instances of each pool with a budget."""
        return {name: self.available(name) for name in self._budgets}

    def drained(self, act: str, instance: str, now_s: float) -> None:
        """Judge the drain of an instance."""
        self._record_act(act)
        was_available = instance not in self._stopped and not self._is_down(instance, now_s)
        self._stopped.add(instance)
        pool = self._pools.get(instance, "")
        remaining = self.available(pool, now_s)
        budget = self._budgets.get(pool, 0)
        if was_available and remaining < budget:
            self._add_violation(act, "budget", f"{pool} has {remaining} of {budget}")

    def stopped(self, act: str, instance: str, running: int) -> None:
        """Judge a reboot or a release of an instance that runs ``running`` requests."""
        self._record_act(act)
        if instance not in self._stopped:
            self._add_violation(act, "not-drained", instance)
        if running:
            self._add_violation(act, "not-empty", f"{instance} runs {running}")

    def resumed(self, act: str, instance: str, pool: str, running: int) -> None:
        """Note that an instance takes work again, for ``pool`` if one is named."""
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
