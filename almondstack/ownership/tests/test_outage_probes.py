"""An outage of the store in which the owner is lost: who notices, and how soon after it."""

import threading

import pytest

from almondstack.core.events import EventLog
from almondstack.jobs import JobIndex, OwnerNotice, RecordKind, encode_notice, record_key
from almondstack.ownership import Follower, OwnershipSettings, Record, StoreError
from almondstack.ownership.liveness import NOT_LISTENING, Liveness
from almondstack.testing.fake_records import FakeRecordStore

_OWNER = "zero/1"
_OUTAGE_S = 4.0
_MODULES = ("failure_detector", "outage_probes")


class _Clock:
    def __init__(self):
        self._now_s = 100.0

    def monotonic(self):
        return self._now_s

    def sleep(self, seconds):
        self._now_s += seconds


class _WaitingStore(FakeRecordStore):
    """A store whose reads wait for records, and which notes claims."""

    def __init__(self, clock):
        super().__init__()
        self.is_claimed = False
        self._clock = clock

    def read(self, offset, wait_s):
        if offset >= len(self.records):
            self._clock.sleep(wait_s)
        return super().read(offset, wait_s)

    def claim(self, token, record, sequence):
        self.is_claimed = True
        return True


class _Outage:
    """One process that follows the store before, during and after an outage."""

    def __init__(self, monkeypatch, answer):
        self.clock = _Clock()
        self.store = _WaitingStore(self.clock)
        self.probes = 0
        self._answer = answer
        monkeypatch.setattr("almondstack.ownership.follower.time", self.clock)
        for module in _MODULES:
            monkeypatch.setattr(f"almondstack.ownership.{module}.probe_liveness", self._probe)
        self.follower = Follower(
            self.store,
            JobIndex(),
            OwnershipSettings(pace_s=1e-9, owner_pace_s=1e-9, retry_pause_s=1e-9),
            "one/1",
            "127.0.0.1:1",
            EventLog("test"),
            lambda token, sequence: None,
        )
        self.clock.sleep(10.0)
        self.add_owner_record()
        self.follower.step()

    def _probe(self, address, timeout_s):
        self.probes += 1
        self.clock.sleep(timeout_s if self._answer is None else 0.002)
        return self._answer

    def add_owner_record(self):
        notice = encode_notice(OwnerNotice(_OWNER, 1, "127.0.0.1:1"))
        self.store.records.append(Record(record_key(RecordKind.OWNER), notice))

    def run(self, for_s):
        """Follow the store for that long, or until a claim; return the seconds that it took."""
        began_s = self.clock.monotonic()
        while not self.store.is_claimed and self.clock.monotonic() < began_s + for_s:
            try:
                self.follower.step()
            except StoreError as error:
                self.follower._note_failure(error)
                self.clock.sleep(0.25)
        return self.clock.monotonic() - began_s

    def lose_store(self):
        self.store.is_down = True
        self.run(_OUTAGE_S)
        self.store.is_down = False


@pytest.mark.parametrize(("answer", "bound_s"), [(NOT_LISTENING, 0.5), (None, 0.7)])
def test_an_owner_lost_in_an_outage_is_replaced_as_soon_as_the_store_is_back(
    monkeypatch, answer, bound_s
):
    """Guards against callers' jobs that wait a second more while its silence is measured anew."""
    outage = _Outage(monkeypatch, answer)
    outage.lose_store()
    assert not outage.store.is_claimed
    took_s = outage.run(5.0)
    assert outage.store.is_claimed and took_s <= bound_s


def test_an_owner_that_has_answered_in_an_outage_is_waited_for_as_before(monkeypatch):
    outage = _Outage(monkeypatch, Liveness(_OWNER, 0.0))
    outage.lose_store()
    outage.run(1.4)
    assert not outage.store.is_claimed


def test_an_unreachable_owner_that_writes_after_an_outage_is_waited_for_as_before(monkeypatch):
    """Only this process may be partitioned from it."""
    outage = _Outage(monkeypatch, None)
    outage.lose_store()
    outage.add_owner_record()
    assert outage.run(5.0) >= OwnershipSettings().mute_s


def test_many_processes_probes_in_an_outage_are_a_second_apart(monkeypatch):
    outage = _Outage(monkeypatch, Liveness(_OWNER, 0.0))
    outage.lose_store()
    assert 1 <= outage.probes <= _OUTAGE_S


def test_a_short_outage_causes_no_probe(monkeypatch):
    outage = _Outage(monkeypatch, NOT_LISTENING)
    outage.store.is_down = True
    outage.run(0.5)
    assert outage.probes == 0


def test_an_owner_that_answers_again_after_an_outage_is_waited_for_as_before(monkeypatch):
    """The case of a lost probe, before the owner has had time to read the store."""
    outage = _Outage(monkeypatch, None)
    outage.lose_store()
    outage._answer = Liveness(_OWNER, 1.2)
    probes = outage.probes
    assert outage.run(5.0) >= OwnershipSettings().doubt_s
    assert outage.probes <= probes + 3


def test_an_unforeseen_error_of_a_probe_does_not_end_the_follower(monkeypatch):
    outage = _Outage(monkeypatch, None)
    monkeypatch.setattr(threading, "excepthook", lambda _: None)
    monkeypatch.setattr("almondstack.ownership.outage_probes.probe_liveness", lambda *_: 1 / 0)
    outage.lose_store()
    assert outage.run(5.0) >= OwnershipSettings().mute_s and outage.store.is_claimed
