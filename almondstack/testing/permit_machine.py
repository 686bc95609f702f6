"""Hypothesis state machine that drives :class:`PermitWorld`."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from almondstack.testing.permit_world import PermitWorld, WorldNode

__all__ = ["PermitMachine"]

_NODES = 3
_index = st.integers(0, 7)
_number = st.integers(0, _NODES - 1)


class PermitMachine(RuleBasedStateMachine):
    """Runs configuration changes, faults and requests in any order and checks the bounds."""

    @initialize(ceiling=st.integers(1, 9), rates=st.tuples(*[st.sampled_from((0.9, 1.0, 1.1))] * 3))
    def build(self, ceiling: int, rates: tuple[float, ...]) -> None:
        """Build a world in which all nodes have joined."""
        self.world = PermitWorld(ceiling)
        for number, rate in enumerate(rates):
            self.world.add_node(number, rate)
        for _ in range(3):
            self.world.run_round()

    def _node(self, number: int) -> WorldNode:
        """Return the latest incarnation on instance ``number``."""
        return [node for node in self.world.nodes if node.name == f"e{number}"][-1]

    @rule(number=_number, count=st.integers(1, 4), seconds=st.sampled_from((0.5, 5.0, 20.0)))
    def start(self, number: int, count: int, seconds: float) -> None:
        """Start requests and set the demand to the number that must wait."""
        node = self._node(number)
        waiting = [1 for _ in range(count) if not self.world.start(node, seconds)]
        if node.is_running:
            node.permits.set_demand("ceiling/north", len(waiting))

    @rule(number=_number, is_reply_lost=st.booleans())
    def flush(self, number: int, is_reply_lost: bool) -> None:
        """Append the submitted records of a node to the log."""
        self.world.flush(self._node(number), is_reply_lost)

    @rule(number=_number, max_records=st.integers(1, 8))
    def read(self, number: int, max_records: int) -> None:
        """Let a node read the log."""
        self.world.read(self._node(number), max_records)

    @rule(number=_number)
    def tick(self, number: int) -> None:
        """Run one step of the permit thread."""
        self.world.tick(self._node(number))

    @rule(
        max_records=st.sampled_from((1, 2, 1000)),
        is_reply_lost=st.booleans(),
        has_links=st.booleans(),
    )
    def simulate_round(self, max_records: int, is_reply_lost: bool, has_links: bool) -> None:
        """Run one round of all nodes."""
        self.world.run_round(max_records, is_reply_lost, has_links)

    @rule(
        number=_number,
        seconds=st.sampled_from((4.0, 30.0, 40.0)),
        has_links=st.booleans(),
        work_s=st.sampled_from((0.0, 20.0)),
    )
    def block_and_resume(self, number: int, seconds: float, has_links: bool, work_s: float) -> None:
        """Pause a busy process while the others run, then resume it."""
        node = self._node(number)
        self._start_all(node, work_s)
        node.is_paused = True
        self.world.run_for(seconds, has_links, work_s)
        node.is_paused = False
        self._start_all(node, work_s)
        self.world.check()
        node.is_log_reachable = False
        self.world.tick(node)
        self._start_all(node, work_s)
        node.is_log_reachable = True

    @rule(ceiling=st.integers(1, 9))
    def saturate_and_change_ceiling(self, ceiling: int) -> None:
        """Change the ceiling while every node demands all of it."""
        self.world.set_ceiling(ceiling)
        for node in self.world.nodes:
            if node.is_running:
                node.permits.set_demand("ceiling/north", 9)
        self.world.run_round()
        self.world.run_round(max_records=1)

    def _start_all(self, node: WorldNode, work_s: float) -> None:
        while work_s and self.world.start(node, work_s):
            pass

    @rule(index=_index, is_repeated=st.booleans())
    def deliver(self, index: int, is_repeated: bool) -> None:
        """Deliver any pending message."""
        if self.world.messages:
            self.world.deliver(index % len(self.world.messages), is_repeated)

    @rule(index=_index)
    def lose_message(self, index: int) -> None:
        """Drop a pending message."""
        if self.world.messages:
            del self.world.messages[index % len(self.world.messages)]

    @rule(seconds=st.sampled_from((0.3, 1.0, 3.0, 30.0)))
    def advance(self, seconds: float) -> None:
        """Advance the time while every running process keeps its heartbeat."""
        passed = 0.0
        while passed < seconds:
            step = min(1.0, seconds - passed)
            self.world.advance(step)
            passed += step
            for node in self.world.nodes:
                if node.is_running:
                    node.permits.guard.heartbeat()

    @rule(number=_number, is_reachable=st.booleans())
    def cut_or_restore_log_access(self, number: int, is_reachable: bool) -> None:
        """Disconnect a node from the log, or reconnect it."""
        self._node(number).is_log_reachable = is_reachable

    @rule()
    def outage(self) -> None:
        """Disconnect all nodes from the log."""
        for node in self.world.nodes:
            node.is_log_reachable = False

    @rule(number=_number, is_paused=st.booleans())
    def pause(self, number: int, is_paused: bool) -> None:
        """Pause or resume a process."""
        self._node(number).is_paused = is_paused

    @rule(number=_number)
    def recover(self, number: int) -> None:
        """Let a node propose recovery from the platform's list."""
        self.world.recover(self._node(number))

    @rule(number=_number, rate=st.sampled_from((0.9, 1.0, 1.1)))
    def crash_and_replace(self, number: int, rate: float) -> None:
        """Kill a process and start another one on its instance."""
        self._node(number).is_alive = False
        self.world.add_node(number, rate)

    @rule(number=_number, rate=st.sampled_from((0.9, 1.0, 1.1)))
    def leave_and_replace(self, number: int, rate: float) -> None:
        """Shut a process down gracefully and start another one on its instance."""
        node = self._node(number)
        self.world.leave(node)
        if not node.is_alive:
            self.world.add_node(number, rate)

    @rule(ceiling=st.integers(1, 9))
    def set_ceiling(self, ceiling: int) -> None:
        """Raise or lower the ceiling."""
        self.world.set_ceiling(ceiling)

    @invariant()
    def check_world(self) -> None:
        """Check all invariants after each step."""
        if hasattr(self, "world"):
            self.world.check()

    def teardown(self) -> None:
        """End all faults and check that no permit was lost."""
        if hasattr(self, "world"):
            self.world.end_faults()
            self.world.check()
            self.world.check_recovered()
