"""Claims under lost replies, outages, repeats, replacement and racing entries.

The oracle is a plain set of the ids that were started and not given back: an id
in it must never start again.
"""

import os

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from almondstack.core import LocalMetrics, Reason, RequestError
from almondstack.log import CLAIMS
from almondstack.once import (
    Claim,
    ClaimBatch,
    ClaimBook,
    ClaimFollower,
    ClaimTable,
    OnceSettings,
    claim_key,
)
from almondstack.once.table import ClaimOwner
from almondstack.testing.clocks import ManualClock
from almondstack.testing.fake_log import FakeLog
from almondstack.testing.identifiers import make_request_id

SETTINGS = OnceSettings(window_s=60.0, clock_error_s=2.0)
IDS = 2
ENTRIES = 2


class Entry:
    """One entry's book, table and follower, driven by hand."""

    def __init__(self, log: FakeLog, name: str, clock: ManualClock) -> None:
        self.client = log.client()
        self.table = ClaimTable(int(SETTINGS.window_s * 1000), int(SETTINGS.clock_error_s * 1000))
        self.book = ClaimBook(self.client, name, self.table, SETTINGS, clock, LocalMetrics())
        self.follower = ClaimFollower(
            self.client, self.table, self.book.decide, SETTINGS, clock, LocalMetrics()
        )
        self.follower.locate()
        self.waiting = []

    def catch_up(self) -> None:
        while self.follower.poll():
            pass


class ClaimMachine(RuleBasedStateMachine):
    """Two entries claim a few ids; entries crash and are replaced."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.log = FakeLog()
        self.born = 0
        self.entries = [self.make_entry() for _ in range(ENTRIES)]
        self.ids = [make_request_id(self.clock.unix(), number) for number in range(IDS)]
        self.started: set[str] = set()

    def make_entry(self) -> Entry:
        self.born += 1
        return Entry(self.log, f"entry-{self.born}", self.clock)

    @rule(entry=st.integers(0, ENTRIES - 1), number=st.integers(0, IDS - 1))
    def begin(self, entry: int, number: int) -> None:
        try:
            waiting = self.entries[entry].book.begin("north", self.ids[number])
        except RequestError:
            return
        self.entries[entry].waiting.append((self.ids[number], waiting))

    @rule(
        entry=st.integers(0, ENTRIES - 1),
        fault=st.sampled_from(["none", "none", "none", "reply lost", "down"]),
    )
    def flush(self, entry: int, fault: str) -> None:
        self.log.lost_replies = int(fault == "reply lost")
        self.log.is_down = fault == "down"
        self.entries[entry].book.flush()
        self.log.lost_replies = 0
        self.log.is_down = False

    @rule(entry=st.integers(0, ENTRIES - 1))
    def catch_up(self, entry: int) -> None:
        self.entries[entry].catch_up()

    @rule(entry=st.integers(0, ENTRIES - 1), is_run=st.sampled_from([True, True, False]))
    def settle(self, entry: int, is_run: bool) -> None:
        if not self.entries[entry].waiting:
            return
        request_id, waiting = self.entries[entry].waiting.pop(0)
        try:
            claim = self.entries[entry].book.settle(waiting)
        except RequestError as error:
            assert error.reason in (Reason.ID_CLAIMED, Reason.CLAIMS_UNAVAILABLE)
            return
        if not is_run:
            self.entries[entry].book.release(claim)
            return
        assert request_id not in self.started, "started twice"
        self.started.add(request_id)
        self.entries[entry].book.finish(claim)

    @rule(entry=st.integers(0, ENTRIES - 1))
    def replace(self, entry: int) -> None:
        self.entries[entry] = self.make_entry()

    @rule()
    def exchange(self) -> None:
        for entry in self.entries:
            entry.book.flush()
        for entry in self.entries:
            entry.catch_up()

    @rule(seconds=st.sampled_from([0.1, 5.0, 30.0]))
    def advance(self, seconds: float) -> None:
        self.clock.advance(seconds)

    @rule(number=st.integers(0, IDS - 1))
    def make_new_id(self, number: int) -> None:
        self.ids[number] = make_request_id(self.clock.unix(), number)

    @rule(count=st.sampled_from([0, 0, 0, 0, 1, 3]))
    def truncate(self, count: int) -> None:
        bounds = self.log.bounds(CLAIMS)
        self.log.truncate(CLAIMS, min(bounds.oldest + count, self.slowest_offset()))

    def slowest_offset(self) -> int:
        return min(entry.follower._next_offset for entry in self.entries)

    @invariant()
    def started_ids_stay_claimed_within_the_window(self) -> None:
        for entry in self.entries:
            if entry.follower._next_offset < self.log.bounds(CLAIMS).next_offset:
                continue
            for request_id in self.started:
                key = claim_key("north", request_id)
                assert entry.table.owner(key) or key.made_ms < entry.table.horizon_ms


def run_machine(examples: int, steps: int) -> None:
    """Run the machine; raises on the first example that breaks the promise."""
    machine = ClaimMachine.TestCase
    machine.settings = settings(
        max_examples=examples, stateful_step_count=steps, phases=[Phase.generate]
    )
    machine().runTest()


def test_an_id_is_started_at_most_once():
    run_machine(examples=int(os.environ.get("ALMONDSTACK_MACHINE_EXAMPLES", "60")), steps=50)


def _last_claim_wins(self, author, claim, latest_ms):
    self._owners[claim.key] = ClaimOwner(author, claim.serial)
    self._buckets.setdefault(claim.key.made_ms // 1000, []).append(claim.key)


def _anyone_releases(self, author, release):
    self._owners.pop(release.key, None)


def _start_without_waiting_for_the_log(self, waiting):
    return waiting.claim


def _every_decision_is_mine(self, claim):
    waiting = self._waiting.pop(ClaimOwner(self._author, claim.serial), None)
    if waiting is not None:
        waiting.is_mine = True
        waiting.decided.set()


MUTATIONS = [
    (ClaimTable, "_claim", _last_claim_wins),
    (ClaimTable, "_release", _anyone_releases),
    (ClaimBook, "_decide_one", _every_decision_is_mine),
    (ClaimBook, "settle", _start_without_waiting_for_the_log),
]


def walk_a_repeated_release() -> None:
    """Walk the machine to a release that is repeated after another entry's claim.

    The machine comes here too seldom in a short run.
    """
    machine = ClaimMachine()
    machine.begin(0, 0)
    machine.exchange()
    machine.settle(0, is_run=False)
    machine.flush(0, "reply lost")
    machine.catch_up(1)
    machine.begin(1, 0)
    machine.flush(1, "none")
    machine.flush(0, "none")
    machine.catch_up(1)
    machine.settle(1, is_run=True)
    machine.catch_up(0)
    machine.begin(0, 0)
    machine.exchange()
    machine.settle(0, is_run=True)


def test_repeated_release_frees_nobody_elses_claim():
    walk_a_repeated_release()


@pytest.mark.parametrize(("owner", "name", "mutant"), MUTATIONS)
def test_the_machine_catches(monkeypatch, owner, name, mutant):
    monkeypatch.setattr(owner, name, mutant)
    with pytest.raises(Exception, match="."):
        walk_a_repeated_release()
        run_machine(examples=600, steps=50)


def test_newcomer_refuses_ids_older_than_what_it_read():
    clock = ManualClock()
    log = FakeLog()
    first = Entry(log, "entry-1", clock)
    old_id = make_request_id(clock.unix(), 1)
    for number in range(40):
        clock.advance(10.0)
        first.book.begin("north", make_request_id(clock.unix(), 100 + number))
        assert first.book.flush()
    newcomer = Entry(log, "entry-2", clock)
    newcomer.catch_up()
    assert newcomer.follower._next_offset == log.bounds(CLAIMS).next_offset
    with pytest.raises(RequestError) as caught:
        newcomer.book.begin("north", old_id)
    assert caught.value.reason is Reason.ID_TOO_OLD
    assert len(newcomer.table) < 40


def test_released_id_can_be_claimed_by_another_entry():
    clock = ManualClock()
    log = FakeLog()
    first, second = Entry(log, "entry-1", clock), Entry(log, "entry-2", clock)
    request_id = make_request_id(clock.unix(), 1)
    waiting = first.book.begin("north", request_id)
    assert first.book.flush()
    first.catch_up()
    first.book.release(first.book.settle(waiting))
    assert first.book.flush()
    second.catch_up()
    again = second.book.begin("north", request_id)
    assert second.book.flush()
    second.catch_up()
    assert second.book.settle(again).key == claim_key("north", request_id)


def test_claims_are_refused_at_once_while_the_log_is_down():
    clock = ManualClock()
    log = FakeLog()
    entry = Entry(log, "entry-1", clock)
    log.is_down = True
    entry.book.begin("north", make_request_id(clock.unix(), 1))
    assert not entry.book.flush()
    with pytest.raises(RequestError) as caught:
        entry.book.begin("north", make_request_id(clock.unix(), 2))
    assert caught.value.reason is Reason.CLAIMS_UNAVAILABLE
    assert caught.value.outcome.value == "not-run"


def test_claim_of_an_id_behind_the_horizon_is_refused_by_every_reader():
    table = ClaimTable(window_ms=60_000, clock_error_ms=2_000)
    old_key = claim_key("north", make_request_id(1_000.0, 1))
    new_key = claim_key("north", make_request_id(1_070.0, 2))
    table.apply(ClaimBatch(1, "entry-1", 1_000_000, [Claim(old_key, 1)], []))
    table.apply(ClaimBatch(1, "entry-1", 1_070_000, [Claim(new_key, 2)], []))
    assert table.owner(old_key) is None
    table.apply(ClaimBatch(1, "entry-2", 1_000_000, [Claim(old_key, 1)], []))
    assert table.owner(old_key) is None
    assert table.horizon_ms == 1_010_000


def test_claim_of_an_id_from_the_future_does_not_move_the_horizon():
    table = ClaimTable(window_ms=60_000, clock_error_ms=2_000)
    far_key = claim_key("north", make_request_id(9_000.0, 1))
    table.apply(ClaimBatch(1, "entry-1", 1_000_000, [Claim(far_key, 1)], []))
    assert table.owner(far_key) is None
    assert table.horizon_ms == 0


def test_newcomer_to_a_truncated_stream_refuses_ids_that_the_lost_part_may_hold():
    clock = ManualClock()
    log = FakeLog()
    first = Entry(log, "entry-1", clock)
    lost_id = make_request_id(clock.unix(), 1)
    first.book.begin("north", lost_id)
    assert first.book.flush()
    clock.advance(1.0)
    first.book.begin("north", make_request_id(clock.unix(), 2))
    assert first.book.flush()
    log.truncate(CLAIMS, 1)
    newcomer = Entry(log, "entry-2", clock)
    newcomer.catch_up()
    with pytest.raises(RequestError) as caught:
        newcomer.book.begin("north", lost_id)
    assert caught.value.reason is Reason.ID_TOO_OLD
