"""Claims under lost replies, outages, repeats, replaced entries and concurrent claims.

The oracle is the set of ids whose request has started: none of these ids may
start again.
"""

import os

import pytest
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from almondstack.at_most_once import (
    Claim,
    ClaimBatch,
    ClaimFollower,
    ClaimManager,
    ClaimTable,
    OnceSettings,
    claim_key,
)
from almondstack.at_most_once.table import ClaimOwner
from almondstack.core import LocalMetrics, Reason, RequestError
from almondstack.log import CLAIMS
from almondstack.testing.clocks import ManualClock
from almondstack.testing.fake_log import FakeLog
from almondstack.testing.identifiers import make_request_id

SETTINGS = OnceSettings(window_s=60.0, clock_error_s=2.0)
IDS = 2
ENTRIES = 2


class Entry:
    """Claims, table and follower of one entry, without their threads."""

    def __init__(self, log: FakeLog, name: str, clock: ManualClock) -> None:
        self.client = log.client()
        self.table = ClaimTable(int(SETTINGS.window_s * 1000), int(SETTINGS.clock_error_s * 1000))
        self.claims = ClaimManager(self.client, name, self.table, SETTINGS, clock, LocalMetrics())
        self.follower = ClaimFollower(
            self.client, self.table, self.claims.handle_batch, SETTINGS, clock, LocalMetrics()
        )
        self.follower.locate()
        self.pending = []

    def catch_up(self) -> None:
        while self.follower.poll():
            pass


class ClaimMachine(RuleBasedStateMachine):
    """Two entries claim the same few ids; entries crash and are replaced."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.log = FakeLog()
        self.created_count = 0
        self.entries = [self.make_entry() for _ in range(ENTRIES)]
        self.ids = [make_request_id(self.clock.unix(), number) for number in range(IDS)]
        self.started: set[str] = set()

    def make_entry(self) -> Entry:
        self.created_count += 1
        return Entry(self.log, f"entry-{self.created_count}", self.clock)

    @rule(entry=st.integers(0, ENTRIES - 1), number=st.integers(0, IDS - 1))
    def begin_claim(self, entry: int, number: int) -> None:
        try:
            pending_claim = self.entries[entry].claims.submit("north", self.ids[number])
        except RequestError:
            return
        self.entries[entry].pending.append((self.ids[number], pending_claim))

    @rule(
        entry=st.integers(0, ENTRIES - 1),
        fault=st.sampled_from(["none", "none", "none", "reply lost", "down"]),
    )
    def flush(self, entry: int, fault: str) -> None:
        self.log.lost_replies = int(fault == "reply lost")
        self.log.is_down = fault == "down"
        self.entries[entry].claims.flush()
        self.log.lost_replies = 0
        self.log.is_down = False

    @rule(entry=st.integers(0, ENTRIES - 1))
    def catch_up(self, entry: int) -> None:
        self.entries[entry].catch_up()

    @rule(entry=st.integers(0, ENTRIES - 1), has_run=st.sampled_from([True, True, False]))
    def resolve(self, entry: int, has_run: bool) -> None:
        if not self.entries[entry].pending:
            return
        request_id, pending_claim = self.entries[entry].pending.pop(0)
        try:
            claim = self.entries[entry].claims.resolve(pending_claim)
        except RequestError as error:
            assert error.reason in (Reason.ID_CLAIMED, Reason.CLAIMS_UNAVAILABLE)
            return
        if not has_run:
            self.entries[entry].claims.release(claim)
            return
        assert request_id not in self.started, "started twice"
        self.started.add(request_id)
        self.entries[entry].claims.finish(claim)

    @rule(entry=st.integers(0, ENTRIES - 1))
    def replace(self, entry: int) -> None:
        self.entries[entry] = self.make_entry()

    @rule()
    def exchange(self) -> None:
        for entry in self.entries:
            entry.claims.flush()
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
        self.log.truncate(CLAIMS, min(bounds.oldest + count, self.lowest_offset()))

    def lowest_offset(self) -> int:
        return min(entry.follower._next_offset for entry in self.entries)

    @invariant()
    def started_ids_stay_claimed_within_the_window(self) -> None:
        for entry in self.entries:
            if entry.follower._next_offset < self.log.bounds(CLAIMS).next_offset:
                continue
            for request_id in self.started:
                key = claim_key("north", request_id)
                assert entry.table.owner(key) or key.created_ms < entry.table.horizon_ms


def run_machine(examples: int, steps: int) -> None:
    """Run the machine; raise on the first example in which an id starts twice."""
    machine = ClaimMachine.TestCase
    machine.settings = settings(
        max_examples=examples, stateful_step_count=steps, phases=[Phase.generate]
    )
    machine().runTest()


def test_an_id_is_started_at_most_once():
    run_machine(examples=int(os.environ.get("ALMONDSTACK_MACHINE_EXAMPLES", "60")), steps=50)


def _last_claim_wins(self, author, claim, latest_ms):
    self._owners[claim.key] = ClaimOwner(author, claim.serial)
    self._buckets.setdefault(claim.key.created_ms // 1000, []).append(claim.key)


def _release_by_any_author(self, author, release):
    self._owners.pop(release.key, None)


def _resolve_without_log(self, pending_claim):
    return pending_claim.claim


def _grant_every_claim(self, claim):
    pending_claim = self._undecided.pop(ClaimOwner(self._author, claim.serial), None)
    if pending_claim is not None:
        pending_claim.is_granted = True
        pending_claim.decided.set()


MUTATIONS = [
    (ClaimTable, "_apply_claim", _last_claim_wins),
    (ClaimTable, "_apply_release", _release_by_any_author),
    (ClaimManager, "_mark_decided", _grant_every_claim),
    (ClaimManager, "resolve", _resolve_without_log),
]


def run_repeated_release() -> None:
    """Repeat a release after another entry has claimed the released id.

    A short run of the machine rarely reaches this sequence.
    """
    machine = ClaimMachine()
    machine.begin_claim(0, 0)
    machine.exchange()
    machine.resolve(0, has_run=False)
    machine.flush(0, "reply lost")
    machine.catch_up(1)
    machine.begin_claim(1, 0)
    machine.flush(1, "none")
    machine.flush(0, "none")
    machine.catch_up(1)
    machine.resolve(1, has_run=True)
    machine.catch_up(0)
    machine.begin_claim(0, 0)
    machine.exchange()
    machine.resolve(0, has_run=True)


def test_repeated_release_does_not_release_the_claim_of_another_entry():
    run_repeated_release()


@pytest.mark.parametrize(("owner", "name", "mutant"), MUTATIONS)
def test_machine_detects_mutation(monkeypatch, owner, name, mutant):
    monkeypatch.setattr(owner, name, mutant)
    with pytest.raises(Exception, match="."):
        run_repeated_release()
        run_machine(examples=600, steps=50)


def test_new_entry_refuses_ids_older_than_the_claims_it_has_read():
    clock = ManualClock()
    log = FakeLog()
    first = Entry(log, "entry-1", clock)
    old_id = make_request_id(clock.unix(), 1)
    for number in range(40):
        clock.advance(10.0)
        first.claims.submit("north", make_request_id(clock.unix(), 100 + number))
        assert first.claims.flush()
    new_entry = Entry(log, "entry-2", clock)
    new_entry.catch_up()
    assert new_entry.follower._next_offset == log.bounds(CLAIMS).next_offset
    with pytest.raises(RequestError) as caught:
        new_entry.claims.submit("north", old_id)
    assert caught.value.reason is Reason.ID_TOO_OLD
    assert len(new_entry.table) < 40


def test_released_id_can_be_claimed_by_another_entry():
    clock = ManualClock()
    log = FakeLog()
    first, second = Entry(log, "entry-1", clock), Entry(log, "entry-2", clock)
    request_id = make_request_id(clock.unix(), 1)
    pending_claim = first.claims.submit("north", request_id)
    assert first.claims.flush()
    first.catch_up()
    first.claims.release(first.claims.resolve(pending_claim))
    assert first.claims.flush()
    second.catch_up()
    again = second.claims.submit("north", request_id)
    assert second.claims.flush()
    second.catch_up()
    assert second.claims.resolve(again).key == claim_key("north", request_id)


def test_claims_are_refused_at_once_while_the_log_is_down():
    clock = ManualClock()
    log = FakeLog()
    entry = Entry(log, "entry-1", clock)
    log.is_down = True
    entry.claims.submit("north", make_request_id(clock.unix(), 1))
    assert not entry.claims.flush()
    with pytest.raises(RequestError) as caught:
        entry.claims.submit("north", make_request_id(clock.unix(), 2))
    assert caught.value.reason is Reason.CLAIMS_UNAVAILABLE
    assert caught.value.outcome.value == "not-run"


def test_claim_of_an_id_before_the_horizon_is_refused_by_every_reader():
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


def test_new_entry_refuses_ids_that_a_truncated_part_of_the_stream_may_contain():
    clock = ManualClock()
    log = FakeLog()
    first = Entry(log, "entry-1", clock)
    lost_id = make_request_id(clock.unix(), 1)
    first.claims.submit("north", lost_id)
    assert first.claims.flush()
    clock.advance(1.0)
    first.claims.submit("north", make_request_id(clock.unix(), 2))
    assert first.claims.flush()
    log.truncate(CLAIMS, 1)
    new_entry = Entry(log, "entry-2", clock)
    new_entry.catch_up()
    with pytest.raises(RequestError) as caught:
        new_entry.claims.submit("north", lost_id)
    assert caught.value.reason is Reason.ID_TOO_OLD
