"""Test oracle that checks the accepted records of the log with a model of its own.

Explanation
-----------
The oracle shares the codec with the code under test and uses the fold only to
learn whether a record was accepted.  It tracks phase and pool of each instance
independently.
"""

from almondstack.fold import Fold
from almondstack.model import (
    InstanceMoved,
    InstanceObserved,
    InstancePhase,
    InstanceRemoved,
    InstanceStepped,
    ReleaseApplied,
    WaveChanged,
    WavePhase,
    decode_body,
    decode_envelope,
)

__all__ = ["LogOracle"]

_MOVABLE_PHASE = InstancePhase.DRAINED


class LogOracle:
    """Checks each accepted record and collects the violations."""

    def __init__(self) -> None:
        self.fold = Fold()
        self.is_last_accepted = False
        self.violations: list[str] = []
        self.moves = 0
        self.return_failures: dict[str, int] = {}
        self.reboots: dict[tuple[str, str], int] = {}
        self._owner: dict[str, str] = {}
        self._phase: dict[str, InstancePhase] = {}
        self._wave: dict[str, str] = {}
        self._aborted: set[str] = set()
        self._rebooted: set[str] = set()
        self._budget: dict[str, int] = {}

    def check_new(self, records: list[bytes]) -> None:
        """Fold and check the records that were not checked before."""
        for offset in range(self.fold.next_offset, len(records)):
            verdict = self.fold.apply(offset, records[offset])
            self.is_last_accepted = verdict is not None and verdict.is_accepted
            if self.is_last_accepted:
                self._check(offset, decode_body(decode_envelope(records[offset])))

    def serving(self, pool: str) -> int:
        """Return how many instances of ``pool`` serve according to the oracle."""
        return sum(
            owner == pool and self._phase[name] is InstancePhase.SERVING
            for name, owner in self._owner.items()
        )

    def _check(self, offset: int, body: object) -> None:
        match body:
            case ReleaseApplied():
                self._apply_note(body)
            case InstanceStepped():
                self._apply_step(offset, body)
            case InstanceObserved():
                self._apply_loss(body.instance)
                self._phase[body.instance] = body.phase
            case WaveChanged(phase=WavePhase.ABORTED):
                self._aborted.add(body.wave)
            case WaveChanged(phase=WavePhase.RUNNING):
                self.return_failures.pop(body.wave, None)
            case InstanceMoved():
                self._apply_move(offset, body)
            case InstanceRemoved():
                if self._phase.pop(body.instance) is InstancePhase.SERVING:
                    self.violations.append(f"{offset}: {body.instance} removed while it served")
                del self._owner[body.instance]

    def _apply_note(self, body: ReleaseApplied) -> None:
        for pool in (*body.note.added.pools, *body.note.changed.pools):
            self._budget[pool.name] = pool.min_serving
        for name in body.note.withdrawn.pools:
            self._budget[name] = 0
        for spec in body.note.added.instances:
            self._owner.setdefault(spec.name, spec.pool)
            self._phase.setdefault(spec.name, InstancePhase.SERVING)

    def _apply_step(self, offset: int, body: InstanceStepped) -> None:
        name = body.instance
        before = self._phase[name]
        self._phase[name] = body.phase
        pool = self._owner[name]
        if before is InstancePhase.SERVING and self.serving(pool) < self._budget.get(pool, 0):
            self.violations.append(f"{offset}: {name} left {pool} with {self.serving(pool)}")
        if body.phase is InstancePhase.DRAINING:
            self._wave[name] = body.wave or ""
            self._rebooted.discard(name)
        if body.phase is InstancePhase.SERVING:
            self._wave.pop(name, None)
        if body.phase is InstancePhase.REBOOTING:
            if before is not InstancePhase.DRAINED:
                self.violations.append(f"{offset}: {name} reboots while {before}")
            self._rebooted.add(name)
            if self._wave.get(name) in self._aborted:
                self.violations.append(f"{offset}: {name} reboots in an aborted wave")
            key = (name, self._wave.get(name, ""))
            self.reboots[key] = self.reboots.get(key, 0) + 1
            if self.reboots[key] > 1:
                self.violations.append(f"{offset}: {name} reboots again in {key[1]}")

    def _apply_loss(self, name: str) -> None:
        wave = self._wave.get(name, "")
        is_back = self._phase[name] in (InstancePhase.REBOOTING, InstancePhase.RETURNING)
        if wave and is_back and name in self._rebooted:
            self.return_failures[wave] = self.return_failures.get(wave, 0) + 1
        self._wave.pop(name, None)
        self._rebooted.discard(name)

    def _apply_move(self, offset: int, body: InstanceMoved) -> None:
        if self._phase[body.instance] is not _MOVABLE_PHASE:
            self.violations.append(f"{offset}: {body.instance} moved undrained")
        self._owner[body.instance] = body.pool
        self.moves += 1
