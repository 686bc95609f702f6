"""Callers' requests, translated."""

import http.client
import threading

import pytest

from almondstack.core import NullMetrics
from almondstack.core.events import EventLog
from almondstack.intake import (
    JobService,
    OwnerNotReachedError,
    OwnerUnclearError,
    Receipt,
    Verdict,
)
from almondstack.jobs import (
    JobBook,
    OwnerNotice,
    RecordKind,
    decode_submission,
    encode_notice,
    record_key,
)
from almondstack.ownership import LogMovedError, Record
from almondstack.platform.configuration import ConfigurationHolder
from almondstack.platform.job_api import FrontServer, JobFront
from almondstack.platform.tests.builders import JOB, configuration_bytes, job_body, request
from almondstack.testing.addresses import free_address
from almondstack.testing.fake_records import FakeRecordStore, LateStore


@pytest.fixture
def front():
    """Return a front with a configuration, and its parts."""
    return _Front()


class _Owner:
    """Says what the test wants; reached by nobody unless it wants something."""

    def __init__(self):
        self.receipts = []
        self.failures = []
        self.failure = OwnerNotReachedError("nobody owns the jobs")

    def ask(self, request, timeout_s):
        if self.failures:
            raise self.failures.pop(0)
        if not self.receipts:
            raise self.failure
        return self.receipts.pop(0)


class _Front:
    def __init__(self):
        self.store = FakeRecordStore()
        self.book = JobBook()
        self.holder = ConfigurationHolder()
        self.holder.put_configuration(configuration_bytes())
        self.lag_s = 0.0
        self.read_gap_s = 0.7
        self.next_offset = 0
        self.owner = _Owner()
        service = JobService(
            self.store, self.book, self, self.owner, EventLog("test"), NullMetrics()
        )
        self.front = JobFront(self.holder, service, NullMetrics())

    def sync(self):
        """Fold what is stored; part of ``StoreReader``."""
        batch = self.store.read(self.next_offset, 0.0)
        for record in batch.records:
            self.book.apply(record.key, record.value)
        self.next_offset = batch.next_offset

    def sign(self, **waits_ms):
        """Store a notice of the owner, and read it."""
        notice = OwnerNotice("me", 1, "", {f"pool/{key}": wait for key, wait in waits_ms.items()})
        self.store.records.append(Record(record_key(RecordKind.OWNER), encode_notice(notice)))
        self.sync()

    def share(self, other):
        """Use the store of another process."""
        self.use(other.store)

    def use(self, store):
        """Append to and read another store."""
        self.store = store
        self.front._service._store = self.front._service._direct._store = store

    def ask(self, *args, **kwargs):
        return self.front.answer(request(*args, **kwargs))


def test_a_job_is_stored_before_it_is_accepted(front):
    assert front.ask("POST", body=job_body()).status == 200
    (record,) = front.store.records
    submission = decode_submission(record.value)
    assert (submission.queue, submission.account, submission.pool) == ("r-1", "t", "pool")
    assert submission.steps[0].count == 2 and submission.steps[0].cpu_millis == 500


def test_a_repeat_of_an_id_remains_one_job(front):
    for _ in range(2):
        assert front.ask("POST", body=job_body()).status == 200
    assert len(front.store.records) == 1


def test_states_are_shown_and_unknown_jobs_are_gone(front):
    assert front.ask("GET").status == 410
    front.ask("POST", body=job_body())
    assert front.ask("GET").content == {"state": "queued"}
    assert front.ask("GET", path="/q/").content == {"pending": 1}
    assert front.ask("DELETE").status == 200
    assert front.ask("GET").content == {"state": "cancelled"}


def test_a_job_that_another_process_accepted_is_found_in_the_store(front):
    other = _Front()
    other.share(front)
    other.ask("POST", body=job_body())
    assert front.ask("GET").content == {"state": "queued"}


def test_only_the_account_of_a_job_sees_it(front):
    front.ask("POST", body=job_body())
    tenants = [{"name": "t", "api-keys": ["k"]}, {"name": "u", "api-keys": ["l"]}]
    front.holder.put_configuration(configuration_bytes(2, tenants=tenants))
    assert front.ask("GET", key="l").status == 410
    assert front.ask("DELETE", key="l").status == 410


def test_unknown_routes_keys_and_ids_are_refused(front):
    assert front.ask("GET", path="/elsewhere/").status == 404
    assert front.ask("GET", host="other.example").status == 404
    assert front.ask("GET", key="wrong").status == 401
    assert front.ask("GET", key=None).status == 401
    assert front.ask("GET", path="/q/not-an-id").status == 404
    assert front.ask("PUT").status == 405


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b"[]",
        job_body(steps=[]),
        job_body(steps=[{"count": 0}]),
        job_body(steps=[{"count": 1, "after": [0]}]),
        job_body(steps=[{"count": 1, "after": [1]}, {"count": 1}]),
        job_body(spec="x" * 5_000),
        job_body(steps=[{"count": 1, "cpu": -5}]),
    ],
)
def test_bad_bodies_are_named_and_nothing_is_stored(front, body):
    answer = front.ask("POST", body=body)
    assert answer.status == 400 and "nothing was stored" in answer.content["error"]
    assert front.store.records == []


def test_an_oversized_body_is_refused(front):
    assert front.ask("POST", body=b" " * 10_001).status == 413


def test_without_configuration_nothing_is_taken(front):
    front.front = JobFront(ConfigurationHolder(), front.front._service, NullMetrics())
    answer = front.ask("POST", body=job_body())
    assert answer.status == 503 and answer.retry_after_s


def test_a_store_that_refuses_makes_a_true_not_run(front):
    front.store.is_down = True
    answer = front.ask("POST", body=job_body())
    assert answer.status == 503 and answer.retry_after_s and front.store.records == []


def test_outage_a_store_that_is_silent_is_not_asked_to_store_jobs(front):
    """An append that is never answered would leave the caller without a true answer."""
    front.lag_s = 1.5
    answer = front.ask("POST", body=job_body())
    assert answer.status == 503 and answer.retry_after_s and front.store.records == []
    front.lag_s = 0.5
    assert front.ask("POST", body=job_body()).status == 200


def test_outage_every_second_answer_lost_is_repeated_within_a_callers_patience(front):
    """With half of all answers lost, three in a row are still answered in time."""
    front.store.loses_replies = 3
    assert front.ask("POST", body=job_body()).status == 200
    assert len(front.store.records) == 1


def test_a_lost_answer_of_the_store_is_asked_for_again(front):
    front.store.loses_replies = 1
    assert front.ask("POST", body=job_body()).status == 200


def test_an_unclear_append_is_never_told_as_not_run(front, monkeypatch):
    _leave_for_later(front)
    monkeypatch.setattr("almondstack.platform.job_api._MOST_WAIT_S", 0.2)
    assert front.ask("POST", body=job_body()).status == 504


def test_burst_a_job_with_time_left_is_taken(front):
    notice = OwnerNotice("me", 1, "", {"pool/t": 1_000, "pool/other": 60_000})
    front.book.apply(record_key(RecordKind.OWNER), encode_notice(notice))
    assert front.ask("POST", body=job_body()).status == 200


def test_an_older_configuration_never_comes_back(front):
    front.holder.put_configuration(configuration_bytes(7, routes=[]))
    assert front.holder.put_configuration(configuration_bytes(3)) is None
    assert front.ask("GET", path="/q/").status == 404


def test_job_ids_are_sixteen_digits(front):
    assert front.ask("POST", path=f"/q/{JOB}0", body=job_body()).status == 404


def _two_processes():
    """Return two processes with one store."""
    first, second = _Front(), _Front()
    second.share(first)
    return first, second


def _leave_for_later(front):
    """Have a process's attempts carried out later; returns what carries them out."""
    late = LateStore(front.store)
    front.front._service._direct._store = late
    return late


def test_a_job_that_the_owner_refuses_as_full_is_told_when_to_come_back(front):
    front.owner.receipts.append(Receipt(Verdict.FULL, 3_400.0))
    answer = front.ask("POST", body=job_body())
    assert answer.status == 429 and 3 <= answer.retry_after_s <= 5
    assert front.store.records == []


def test_burst_without_an_owner_a_job_that_would_be_late_is_refused_at_once(front):
    """Only the owner can say that no other attempt is stored, so this speaks of one attempt."""
    front.sign(t=60_000)
    answer = front.ask("POST", body=job_body())
    assert answer.status == 503 and answer.retry_after_s
    assert len(front.store.records) == 1


def test_a_job_that_the_owner_stores_is_shown_at_once(front):
    front.owner.receipts.append(Receipt(Verdict.DONE))
    assert front.ask("POST", body=job_body()).status == 200
    assert front.ask("GET").content == {"state": "queued"}
    assert front.store.records == []


def test_a_cancel_that_the_owner_stores_is_shown_at_once(front):
    front.owner.receipts.extend([Receipt(Verdict.DONE), Receipt(Verdict.DONE)])
    front.ask("POST", body=job_body())
    assert front.ask("DELETE").status == 200
    assert front.ask("GET").content == {"state": "cancelled"}
    assert front.store.records == []


def test_a_job_of_which_the_owner_says_nothing_is_stored_from_here(front):
    """The owner may be paused: its caller still has time for another way."""
    front.owner.failure = OwnerUnclearError("no answer")
    assert front.ask("POST", body=job_body()).status == 200
    assert len(front.store.records) == 1


def test_a_job_that_a_silent_owner_may_have_is_never_told_as_not_run(front):
    front.owner.failure = OwnerUnclearError("no answer")
    front.store.is_down = True
    assert front.ask("POST", body=job_body()).status == 504
    front.owner.failure = OwnerNotReachedError("no connection")
    assert front.ask("POST", body=job_body()).status == 504


@pytest.mark.parametrize("is_repeated", [False, True])
def test_a_job_that_the_owner_has_not_stored_is_told_by_what_is_known(front, is_repeated):
    if is_repeated:
        front.owner.failure = OwnerUnclearError("no answer")
        front.store.is_down = True
        assert front.ask("POST", body=job_body()).status == 504
    front.owner.receipts.append(Receipt(Verdict.NOT_STORED))
    assert front.ask("POST", body=job_body()).status == (504 if is_repeated else 503)


def test_an_attempt_behind_a_refusal_is_not_stored(front):
    """The owner has refused the job by another process meanwhile."""
    front.store.records.append(Record(record_key(RecordKind.REFUSAL, JOB), b""))
    assert front.ask("POST", body=job_body()).status == 503
    assert len(front.store.records) == 1
    assert front.ask("POST", body=job_body()).status == 200


def test_an_attempt_that_may_have_missed_a_refusal_is_not_stored(front, monkeypatch):
    """The newest records tell nothing of refusals."""
    sync = front.sync

    def fill():
        front.book.note_filling()
        sync()

    monkeypatch.setattr(front, "sync", fill)
    assert front.ask("POST", body=job_body()).status == 503
    assert front.store.records == []


def test_an_append_is_repeated_behind_records_that_came_first(front):
    """Others store their jobs at the same moment."""
    append_at = front.store.append_at

    def others_first(*arguments):
        front.store.append_at = append_at
        front.sign()
        append_at(*arguments)

    front.store.append_at = others_first
    assert front.ask("POST", body=job_body()).status == 200
    assert len(front.store.records) == 2


def test_many_processes_an_append_that_others_overtake_each_time_is_not_tried_without_a_pause(
    front, monkeypatch
):
    """Hundreds that appended for themselves would use up the store's rate for all."""
    tries = []

    def always_others(*arguments):
        tries.append(arguments)
        raise LogMovedError("others came first")

    monkeypatch.setattr(front.store, "append_at", always_others)
    answer = front.ask("POST", body=job_body(), deadline_s=0.65)
    assert answer.status == 503 and answer.retry_after_s
    assert 2 <= len(tries) <= 20


def test_an_attempt_that_another_overtook_is_found_in_the_store():
    """It has read less, so that its own append comes too late and it reads on."""
    front, other = _two_processes()
    other.sign()
    assert other.ask("POST", body=job_body()).status == 200
    assert front.ask("POST", body=job_body()).status == 200
    assert len(front.store.records) == 2


@pytest.mark.parametrize("fault", ["silent", "down"])
def test_a_process_with_an_attempt_unanswered_never_says_that_the_job_was_not_stored(
    front, monkeypatch, fault
):
    """Its caller comes back to the same process while the store is away."""
    monkeypatch.setattr("almondstack.platform.job_api._MOST_WAIT_S", 0.2)
    late = _leave_for_later(front)
    assert front.ask("POST", body=job_body()).status == 504
    front.use(front.store)
    front.lag_s = 5.0 if fault == "silent" else 0.0
    front.store.is_down = True
    assert front.ask("POST", body=job_body()).status == 504
    front.lag_s, front.store.is_down = 0.0, False
    late.carry_out()
    assert front.ask("POST", body=job_body()).status == 200
    assert len(front.store.records) == 1


def test_an_attempt_of_another_account_is_no_repeat():
    """Two accounts hand the same id in within a moment; the second hears that it is taken."""
    front, other = _two_processes()
    tenants = [{"name": "t", "api-keys": ["k"]}, {"name": "u", "api-keys": ["l"]}]
    other.holder.put_configuration(configuration_bytes(2, tenants=tenants))
    assert front.ask("POST", body=job_body()).status == 200
    assert other.ask("POST", key="l", body=job_body()).status == 409
    accounts = [decode_submission(record.value).account for record in front.store.records]
    assert accounts == ["t"]


def test_a_job_that_a_slow_store_can_not_take_in_time_is_refused_at_once(front):
    """Callers were held to their deadline, 47 of worth in one day (lbna-almond-grown trouble-2)."""
    front.store.tempo.note_append(2.4)
    answer = front.ask("POST", body=job_body(), deadline_s=1.5)
    assert (answer.status, answer.retry_after_s) == (503, 1)
    assert front.store.records == []


def test_slow_store_a_job_waits_for_the_next_owner_and_is_not_appended_from_here(front):
    """Sixty processes appended for themselves, and the next owner's claim waited behind them."""
    front.store.tempo.note_append(0.4)
    front.owner.failures = [OwnerNotReachedError("it has given back")] * 2
    front.owner.receipts.append(Receipt(Verdict.DONE))
    assert front.ask("POST", body=job_body(), deadline_s=1.5).status == 200
    assert front.store.records == []


def test_slow_store_a_job_without_an_owner_is_not_appended_from_here(front):
    front.store.tempo.note_append(0.4)
    answer = front.ask("POST", body=job_body(), deadline_s=0.7)
    assert answer.status == 503 and answer.retry_after_s
    assert front.store.records == []


def test_a_job_that_an_earlier_attempt_may_store_is_not_refused_by_a_slow_store(front, monkeypatch):
    """The first attempt may still be carried out: 'not stored' would not be true."""
    monkeypatch.setattr("almondstack.platform.job_api._MOST_WAIT_S", 0.2)
    store = front.store
    late = _leave_for_later(front)
    assert front.ask("POST", body=job_body()).status == 504
    store.tempo.note_append(2.4)
    assert front.ask("POST", body=job_body(), deadline_s=1.5).status == 504
    late.carry_out()
    assert len(store.records) == 1


def test_cut_off_callers_that_are_turned_away_come_back_over_a_new_connection(front):
    """A connection that stays open brings each further try to the process that is cut off."""
    server = FrontServer(free_address(), front.front, threads=2)
    server.prepare()
    thread = threading.Thread(target=server.serve, daemon=True)
    thread.start()
    try:
        front.lag_s = 5.0
        assert _post(server, "1" * 16) == (503, "close")
        front.lag_s = 0.0
        assert _post(server, "2" * 16) == (200, None)
    finally:
        server.stop()
        thread.join()


def _post(server, job):
    """Hand a job in over loopback; return the status and what becomes of the connection."""
    connection = http.client.HTTPConnection(*server.bind_addr, timeout=10)
    wanted = request("POST", path=f"/q/{job}", body=job_body())
    headers = {"Host": wanted.host, "Authorization": f"Bearer {wanted.key}"}
    connection.request("POST", wanted.path, wanted.body, headers)
    response = connection.getresponse()
    response.read()
    connection.close()
    return response.status, response.headers.get("Connection")


def test_behind_a_state_that_is_not_known_is_not_looked_up(front):
    """Lookups of a process that is cut off held all of its threads."""
    front.lag_s = 5.0
    front.sync = None
    assert front.ask("GET").status == 503
