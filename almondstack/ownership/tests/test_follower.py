"""Ownership of the jobs under concurrent claims, lost replies and outages of the store."""

import threading
import time

import pytest

from almondstack.core.events import EventLog
from almondstack.jobs import (
    JobIndex,
    OwnerNotice,
    RecordKind,
    Submission,
    encode_notice,
    encode_submission,
    record_key,
)
from almondstack.ownership import (
    FencedError,
    Follower,
    OwnershipSettings,
    Record,
    StoreRefusedError,
)
from almondstack.ownership.liveness import Liveness
from almondstack.testing.fake_records import FakeRecordStore
from almondstack.testing.job_builders import make_step

_NO_DELAYS = OwnershipSettings(
    silence_s=1e-9, stagger_s=1e-9, pace_s=1e-9, owner_pace_s=1e-9, wait_s=1e-9
)


def _follower(store, name, settings=_NO_DELAYS, cores=1.0):
    owned = []
    follower = Follower(
        store,
        JobIndex(),
        settings,
        name,
        "127.0.0.1:1",
        EventLog("test"),
        lambda token, sequence: owned.append((token, sequence)),
        cores,
    )
    return follower, owned


def _steps(follower, count=3):
    for _ in range(count):
        follower.step()


def test_one_of_two_that_claim_the_same_token_owns_the_jobs():
    store = FakeRecordStore()
    one, own_one = _follower(store, "one")
    two, own_two = _follower(store, "two")
    one.step()
    two.step()
    _steps(one)
    assert len(own_one) == 1 and own_two == []


def test_two_claims_of_one_token_differ_in_their_sequence():
    store = FakeRecordStore()
    claims = []
    store.claim = lambda token, record, sequence: claims.append((token, sequence)) or True
    for name in ("one", "two"):
        _follower(store, name)[0].step()
    assert claims[0][0] == claims[1][0] and claims[0][1] != claims[1][1]


def test_a_claim_is_made_although_submissions_keep_coming():
    store = FakeRecordStore()
    follower, owned = _follower(store, "one")
    for number in range(4):
        store.records.append(Record(record_key(RecordKind.CANCEL, str(number)), b"\x01"))
        follower.step()
    assert len(owned) == 1


def test_a_claim_whose_reply_was_lost_is_found_by_reading():
    store = FakeRecordStore()
    store.replies_to_lose = 1
    follower, owned = _follower(store, "one")
    with pytest.raises(Exception, match="no answer"):
        follower.step()
    _steps(follower)
    assert len(owned) == 1


def test_a_successful_reply_without_the_claim_in_the_log_makes_no_owner():
    store = FakeRecordStore()
    store.claim = lambda token, record, sequence: True
    follower, owned = _follower(store, "one")
    _steps(follower)
    assert owned == []


def test_the_previous_owner_is_fenced():
    store = FakeRecordStore()
    one, own_one = _follower(store, "one")
    _steps(one)
    two, own_two = _follower(store, "two")
    _steps(two)
    assert own_two[0][0] > own_one[0][0]
    token, sequence = own_one[0]
    with pytest.raises(FencedError):
        store.append_owned([Record("pj1", b"\x00")], token, sequence + 1)


def test_an_outage_of_the_store_causes_no_take_over():
    store = FakeRecordStore()
    settings = OwnershipSettings(silence_s=3600, doubt_s=3600, pace_s=1e-9, wait_s=1e-9)
    follower, owned = _follower(store, "one", settings)
    follower.step()
    store.is_down = True
    with pytest.raises(StoreRefusedError):
        follower.step()
    store.is_down = False
    _steps(follower)
    assert owned == []


def test_an_exiting_process_claims_nothing():
    follower, owned = _follower(FakeRecordStore(), "one")
    follower.stop_claiming()
    _steps(follower)
    assert owned == []


def test_an_exiting_process_takes_the_ownership_that_it_had_just_claimed():
    """Otherwise no process releases the jobs, and all wait until the owner counts as failed."""
    store = FakeRecordStore()
    follower, owned = _follower(store, "one")
    follower._load()
    follower._claim()
    follower.stop_claiming()
    _steps(follower)
    assert [token for token, _ in owned] == [1]


def _add_notice(store, **fields):
    notice = OwnerNotice("a/1", 7, "127.0.0.1:1", **fields)
    store.records.append(Record(record_key(RecordKind.OWNER), encode_notice(notice)))


def _add_release(store, standby):
    store.records.append(
        Record(record_key(RecordKind.OWNER), encode_notice(OwnerNotice("", 7, standby=standby)))
    )


def test_slow_store_only_the_standby_claims_released_jobs():
    """A slow store executes claims one by one: of nine claims, each took half a second, and the
    last one prevailed."""
    store = FakeRecordStore()
    followers = {name: _follower_with_long_timeouts(store, name) for name in ("b/1", "c/1", "d/1")}
    _add_notice(store, standby="c/1")
    for follower, _ in followers.values():
        follower._started_s -= 3600
        follower.step()
    _add_release(store, "c/1")
    claims = []
    claim = store.claim
    store.claim = lambda *arguments: claims.append(arguments) or claim(*arguments)
    for follower, _ in followers.values():
        _steps(follower, 2)
    assert len(claims) == 1 and len(followers["c/1"][1]) == 1


def test_a_standby_that_does_not_claim_delays_others_for_a_bounded_time(monkeypatch):
    store = FakeRecordStore()
    follower, owned = _follower_with_long_timeouts(store, "b/1")
    follower._started_s -= 3600
    follower.step()
    _add_release(store, "c/1")
    _steps(follower)
    assert owned == []
    follower._claim_priority._vacant_s -= follower._settings.standby_waits_s
    _steps(follower)
    assert len(owned) == 1


def test_processes_that_have_just_started_do_not_wait_for_a_standby():
    """The standby may have crashed with them."""
    store = FakeRecordStore()
    follower, owned = _follower_with_long_timeouts(store, "b/1")
    _add_release(store, "c/1")
    _steps(follower)
    assert len(owned) == 1


def test_expired_history_is_replaced_by_the_newest_records():
    store = FakeRecordStore()
    settings = OwnershipSettings(silence_s=3600, doubt_s=3600, pace_s=1e-9, wait_s=1e-9)
    follower, _ = _follower(store, "one", settings)
    follower.step()
    store.records.extend([Record("cj1", b"\x01"), Record("cj2", b"\x01")])
    store.first_offset = 2
    with pytest.raises(Exception, match="store-history"):
        follower.step()
    assert not follower.is_loaded
    follower.step()
    assert follower.is_loaded


def test_a_job_that_was_removed_while_history_was_lost_is_forgotten():
    """Guards against a new owner that starts the tasks of a completed job again (TWICE).

    The removal of the job had expired before this process read it, so that the job was still
    running for it, and for good.
    """
    store = FakeRecordStore()
    settings = OwnershipSettings(silence_s=3600, doubt_s=3600, pace_s=1e-9, wait_s=1e-9)
    follower, _ = _follower(store, "one", settings)
    submission = encode_submission(Submission("q", "a", "s", (make_step(),)))
    for job in ("j1", "j2"):
        store.records.append(Record(record_key(RecordKind.SUBMISSION, job), submission))
        store.records.append(Record(record_key(RecordKind.CANCEL, job), b"\x01"))
        store.records.append(Record(record_key(RecordKind.INSTANCE, job), b"\x01"))
    follower.step()
    for kind in (RecordKind.PROGRESS, RecordKind.CANCEL, RecordKind.SUBMISSION):
        store.records.append(Record(record_key(kind, "j1"), b""))
    store.first_offset = len(store.records)
    with pytest.raises(Exception, match="store-history"):
        follower.step()
    follower.step()
    assert [job for job, _ in follower._index.entries()] == ["j2"]
    assert follower._index.entry("j2").is_cancelled
    assert sorted(follower._index.fleet_records(RecordKind.INSTANCE)) == ["j1", "j2"]


def _follower_with_long_timeouts(store, name):
    settings = OwnershipSettings(
        silence_s=3600, doubt_s=3600, new_doubt_s=3600, pace_s=1e-9, wait_s=1e-9
    )
    return _follower(store, name, settings)


def test_a_release_is_claimed_by_one_process_only():
    """If every process that reads the release claims, four own the jobs in turn within 0.2 s."""
    store = FakeRecordStore()
    owner, owned = _follower(store, "a/1")
    _steps(owner)
    token, sequence = owned[0]
    one, own_one = _follower_with_long_timeouts(store, "b/1")
    two, own_two = _follower_with_long_timeouts(store, "c/1")
    for follower in (one, two):
        follower.step()
    released = encode_notice(OwnerNotice("", token))
    store.append_owned([Record(record_key(RecordKind.OWNER), released)], token, sequence + 1)
    _steps(one)
    assert len(own_one) == 1
    _steps(two)
    assert own_two == []


def test_a_restarted_process_claims_the_jobs_of_its_predecessor_at_once():
    store = FakeRecordStore()
    owner, _ = _follower(store, "a/1")
    _steps(owner)
    other, own_other = _follower_with_long_timeouts(store, "b/1")
    _steps(other)
    again, own_again = _follower_with_long_timeouts(store, "a/2")
    _steps(again)
    assert own_other == [] and len(own_again) == 1


@pytest.mark.parametrize(("age_s", "is_claimed"), [(0.1, False), (5.0, True)])
def test_an_owner_whose_writes_are_lost_keeps_the_jobs_if_it_reads_the_store(
    monkeypatch, age_s, is_claimed
):
    """While the store loses a third of all writes, a new owner is affected as well: without this
    rule, three owners replaced each other."""
    store = FakeRecordStore()
    owner, _ = _follower(store, "a/1")
    _steps(owner)
    monkeypatch.setattr(
        "almondstack.ownership.failure_detector.probe_liveness", lambda *_: Liveness("a/1", age_s)
    )
    settings = OwnershipSettings(
        silence_s=1e-9, stagger_s=1e-9, patience_s=3600, pace_s=1e-9, wait_s=1e-9
    )
    other, owned = _follower(store, "b/1", settings)
    _steps(other)
    assert bool(owned) is is_claimed


@pytest.mark.parametrize(
    ("owner", "is_claimed"),
    [
        (Liveness("a/1", 0.1), False),
        (Liveness("a/1", 0.1, turned_away_s=0.1), False),
        (Liveness("a/1", 0.1, turned_away_s=0.5), True),
        (Liveness("a/1", 2.0), True),
    ],
)
def test_an_owner_that_the_store_rejects_is_replaced_sooner(monkeypatch, owner, is_claimed):
    """Otherwise it keeps the jobs for 1.5 to 4 s, in which no task is started."""
    store = FakeRecordStore()
    first, _ = _follower(store, "a/1")
    _steps(first)
    monkeypatch.setattr("almondstack.ownership.failure_detector.probe_liveness", lambda *_: owner)
    settings = OwnershipSettings(silence_s=3600, doubt_s=1e-9, pace_s=1e-9, wait_s=1e-9)
    other, owned = _follower(store, "b/1", settings)
    other._started_s -= 7200
    _steps(other, 4)
    assert bool(owned) is is_claimed


def test_a_claim_succeeds_although_a_record_comes_between_read_and_claim():
    """A claim that must be appended at the end of the log fails after each concurrent submission;
    on a slow store this went on for 6.7 s."""
    store = FakeRecordStore()
    claim = store.claim

    def claim_after_a_submission(token, record, sequence):
        store.records.append(Record(record_key(RecordKind.CANCEL, "x"), b"\x01"))
        return claim(token, record, sequence)

    store.claim = claim_after_a_submission
    follower, owned = _follower(store, "one")
    _steps(follower)
    assert len(owned) == 1


def test_a_sync_reads_to_the_end_in_as_many_reads_as_it_takes():
    """A process that lags by more than one answer would report accepted jobs as unknown."""
    store = FakeRecordStore()
    follower, _ = _follower(store, "one")
    store.max_per_read = 2
    store.records.extend(Record(f"i{number}", b"1") for number in range(7))
    follower.sync()
    assert follower.next_offset == 7


_LONG_TIMEOUTS = {
    "silence_s": 3600,
    "doubt_s": 3600,
    "pace_s": 1e-9,
    "owner_pace_s": 1e-9,
    "wait_s": 1e-9,
}
"""Time-outs so long that no owner is considered failed."""


def test_heavy_day_a_clearly_faster_process_takes_over_from_a_slow_owner():
    """An owner on half a core decides late in each burst."""
    store = FakeRecordStore()
    slow, own_slow = _follower(store, "a/1", cores=0.5)
    _steps(slow)
    settings = OwnershipSettings(**_LONG_TIMEOUTS, faster_waits_s=1e-9)
    similar, own_similar = _follower(store, "b/1", settings, cores=0.6)
    _steps(similar)
    fast, own_fast = _follower(store, "c/1", settings, cores=2.0)
    _steps(fast, 4)
    assert own_slow and not own_similar and own_fast[0][0] > own_slow[0][0]


def test_a_faster_process_with_a_failed_read_does_not_replace_a_slow_owner():
    store = FakeRecordStore()
    slow, _ = _follower(store, "a/1", cores=0.5)
    _steps(slow)
    settings = OwnershipSettings(**_LONG_TIMEOUTS, faster_waits_s=0.5)
    fast, own_fast = _follower(store, "c/1", settings, cores=2.0)
    fast.step()
    fast._note_failure(StoreRefusedError("unavailable"))
    _steps(fast)
    assert own_fast == []


def test_slow_processes_delay_their_claims_for_faster_ones():
    store = FakeRecordStore()
    notice = OwnerNotice("", 3, cores=2.0)
    store.records.append(Record(record_key(RecordKind.OWNER), encode_notice(notice)))
    settings = OwnershipSettings(**_LONG_TIMEOUTS, slower_waits_s=3600)
    slow, own_slow = _follower(store, "a/1", settings, cores=0.5)
    _steps(slow)
    fast, own_fast = _follower(store, "b/1", settings, cores=2.0)
    _steps(fast)
    assert own_slow == [] and len(own_fast) == 1


def _add_silent_owner(store):
    notice = OwnerNotice("z/1", 1, "127.0.0.1:1")
    store.records.append(Record(record_key(RecordKind.OWNER), encode_notice(notice)))


def test_a_silent_owner_that_can_not_be_reached_is_replaced_sooner(monkeypatch):
    """If a zone is partitioned with its owner, others must not wait 2 s before they probe it."""
    monkeypatch.setattr("almondstack.ownership.failure_detector.probe_liveness", lambda *_: None)
    store = FakeRecordStore()
    _add_silent_owner(store)
    later, own_later = _follower(
        store, "a/1", OwnershipSettings(**{**_LONG_TIMEOUTS, "doubt_s": 1e-9, "mute_s": 3600})
    )
    _steps(later, 4)
    sooner, own_sooner = _follower(
        store, "b/1", OwnershipSettings(**{**_LONG_TIMEOUTS, "doubt_s": 1e-9, "mute_s": 1e-9})
    )
    sooner._started_s -= 7200
    _steps(sooner, 4)
    assert own_later == [] and len(own_sooner) == 1


@pytest.mark.parametrize(("standby", "bound_s"), [("one/1", 0.95), ("two/1", 3.0)])
def test_zone_cut_in_a_burst_the_standby_claims_as_soon_as_the_silence_lasts(
    monkeypatch, standby, bound_s
):
    """Each read waited for half a second, so a silence was noted after one, then after two."""
    clock = _ReadClock()
    store = _WaitingStore(clock)
    store.is_claimed = False
    monkeypatch.setattr("almondstack.ownership.follower.time", clock)
    monkeypatch.setattr(
        "almondstack.ownership.failure_detector.probe_liveness", lambda *_: clock.sleep(0.15)
    )
    notice = OwnerNotice("zero/1", 1, standby=standby)
    follower, _ = _follower(store, "one/1", OwnershipSettings(pace_s=1e-9, owner_pace_s=1e-9))
    clock.sleep(10.0)
    store.records.append(Record(record_key(RecordKind.OWNER), encode_notice(notice)))
    follower.step()
    began_s = clock.monotonic()
    while not store.is_claimed and clock.monotonic() < began_s + bound_s:
        follower.step()
    assert store.is_claimed and clock.monotonic() <= began_s + bound_s


def test_a_standby_reads_as_rarely_as_others_while_the_owner_writes(monkeypatch):
    clock = _ReadClock()
    store = _WaitingStore(clock)
    monkeypatch.setattr("almondstack.ownership.follower.time", clock)
    notice = OwnerNotice("zero/1", 1, standby="one/1")
    store.records.append(Record(record_key(RecordKind.OWNER), encode_notice(notice)))
    follower, _ = _follower(store, "one/1", OwnershipSettings(pace_s=1e-9, owner_pace_s=1e-9))
    follower.step()
    store.waits_s.clear()
    for _ in range(10):
        store.records.append(Record("px", b"\x00"))
        follower.step()
    assert store.waits_s == [0.5] * 10


class _ReadClock:
    """Replaces ``time``; only reads of the store and probes take time."""

    def __init__(self):
        self._now_s = 100.0

    def monotonic(self):
        return self._now_s

    def sleep(self, seconds):
        self._now_s += seconds


class _WaitingStore(FakeRecordStore):
    """A store whose reads take as long as they may wait if there is no record."""

    def __init__(self, clock):
        super().__init__()
        self.is_claimed = False
        self.waits_s = []
        self._clock = clock

    def read(self, offset, wait_s):
        self.waits_s.append(wait_s)
        if offset >= len(self.records):
            self._clock.sleep(wait_s)
        return super().read(offset, wait_s)

    def claim(self, token, record, sequence):
        self.is_claimed = True
        return True


def test_the_last_owner_record_is_not_a_claim_of_this_process():
    store = FakeRecordStore()
    follower, _ = _follower(store, "one", OwnershipSettings(**_LONG_TIMEOUTS))
    _add_silent_owner(store)
    follower.step()
    record_s = follower.last_owner_record_s
    store.records.append(Record(record_key(RecordKind.CANCEL, "j"), b"\x01"))
    claim = encode_notice(OwnerNotice("one", 2))
    store.records.append(Record(record_key(RecordKind.OWNER), claim))
    follower.step()
    assert follower.last_owner_record_s == record_s
    store.records.append(Record("pj", b"\x00"))
    follower.step()
    assert follower.last_owner_record_s > record_s


def test_slow_link_a_lagging_follower_reads_on_without_a_pause(monkeypatch):
    store = FakeRecordStore()
    store.max_per_read = 2
    store.records.extend(Record(f"cj{number}", b"\x01") for number in range(4))
    follower, _ = _follower_with_long_timeouts(store, "one")
    follower._is_loaded = True
    pauses = []
    monkeypatch.setattr(follower._stop, "wait", pauses.append)
    follower.step()
    assert (follower.next_offset, pauses) == (2, [])
    follower.step()
    assert follower.next_offset == 4 and len(pauses) == 1


def test_lagging_concurrent_syncs_share_their_reads():
    """A lagging process would otherwise fill its link with transfers of the same records."""
    store = FakeRecordStore()
    follower, _ = _follower(store, "one")
    store.records.extend(Record(f"i{number}", b"1") for number in range(7))
    reads = []
    gate = threading.Event()
    read = store.read

    def slow_read(offset, wait_s):
        reads.append(offset)
        gate.wait(10.0)
        return read(offset, wait_s)

    store.read = slow_read
    threads = [threading.Thread(target=follower.sync) for _ in range(24)]
    for thread in threads:
        thread.start()
    gate.set()
    for thread in threads:
        thread.join(10.0)
    # One read under way, one shared by the waiting threads, and one for a thread that starts late.
    assert follower.next_offset == 7 and len(reads) <= 3


def test_a_sync_times_out_if_the_log_is_too_far_ahead(monkeypatch):
    monkeypatch.setattr("almondstack.ownership.follower._SYNC_TIMEOUT_S", 1e-9)
    store = FakeRecordStore()
    follower, _ = _follower(store, "one")
    store.max_per_read = 2
    store.records.extend(Record(f"i{number}", b"1") for number in range(7))
    with pytest.raises(StoreRefusedError, match="too far ahead"):
        follower._read_to_end()


def test_reads_that_do_not_reach_the_end_of_the_log_leave_the_lag(monkeypatch):
    """Otherwise it answers callers as if it had read the whole log."""
    now_s = [100.0]
    monkeypatch.setattr("almondstack.ownership.follower.time.monotonic", lambda: now_s[0])
    store = FakeRecordStore()
    follower, _ = _follower(store, "one")
    _steps(follower, 1)
    store.max_per_read = 1
    store.records.extend(Record(f"i{number}", b"1") for number in range(3))
    now_s[0] = 103.0
    _steps(follower, 2)
    assert follower.contact_age_s == 0.0 and follower.lag_s == 3.0
    _steps(follower, 2)
    assert follower.lag_s == 0.0


def test_an_unexpected_error_does_not_end_the_follower_thread():
    """If the thread ends, the process serves stale job states until it is restarted."""
    store = FakeRecordStore()
    follower, owned = _follower(store, "one")
    claim = store.claim
    errors = [ValueError("unexpected")]

    def failing_claim(*arguments):
        if errors:
            raise errors.pop()
        return claim(*arguments)

    store.claim = failing_claim
    follower.start()
    has_claimed = threading.Event()
    until_s = time.monotonic() + 5.0
    while not owned and time.monotonic() < until_s:
        has_claimed.wait(0.01)
    follower.stop()
    assert errors == [] and len(owned) == 1
