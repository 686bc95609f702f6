"""Tests of the HTTP API for callers."""

import http.client
import threading

import pytest

from almondstack.core import LocalMetrics
from almondstack.core.events import EventLog
from almondstack.intake import (
    JobService,
    OwnerNotReachedError,
    OwnerUnclearError,
    Receipt,
    Verdict,
)
from almondstack.jobs import (
    JobIndex,
    OwnerNotice,
    RecordKind,
    decode_submission,
    encode_notice,
    record_key,
)
from almondstack.ownership import LogMovedError, Record
from almondstack.platform.configuration import ConfigurationHolder
from almondstack.platform.job_api import JobApi, JobApiServer
from almondstack.platform.tests.builders import JOB, configuration_bytes, job_body, request
from almondstack.testing.addresses import free_address
from almondstack.testing.fake_records import DelayedAppendStore, FakeRecordStore


@pytest.fixture
def process():
    """Return a process with a configuration and an empty store."""
    return _Process()


class _SleepClock:
    """Replaces ``time``; only sleeps take time."""

    def __init__(self):
        self._now_s = 0.0

    def monotonic(self):
        return self._now_s

    def sleep(self, seconds):
        self._now_s += seconds


class _Owner:
    """Returns the test's receipts or raises its failures; unreachable by default."""

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


class _Process:
    """The job API of one process; also its ``StoreReader``."""

    def __init__(self):
        self.store = FakeRecordStore()
        self.index = JobIndex()
        self.holder = ConfigurationHolder()
        self.holder.put_configuration(configuration_bytes())
        self.lag_s = 0.0
        self.read_gap_s = 0.7
        self.next_offset = 0
        self.owner = _Owner()
        service = JobService(
            self.store, self.index, self, self.owner, EventLog("test"), LocalMetrics()
        )
        self.api = JobApi(self.holder, service, LocalMetrics())

    def sync(self):
        """Apply new records of the store to the index; part of ``StoreReader``."""
        batch = self.store.read(self.next_offset, 0.0)
        for record in batch.records:
            self.index.apply(record.key, record.value)
        self.next_offset = batch.next_offset

    def store_notice(self, **waits_ms):
        """Store a notice of the owner, and read it."""
        notice = OwnerNotice("me", 1, "", {f"pool/{key}": wait for key, wait in waits_ms.items()})
        self.store.records.append(Record(record_key(RecordKind.OWNER), encode_notice(notice)))
        self.sync()

    def share_store(self, other):
        """Use the store of another process."""
        self.use_store(other.store)

    def use_store(self, store):
        """Append to and read the given store."""
        self.store = store
        self.api._service._store = self.api._service._direct._store = store

    def ask(self, *args, **kwargs):
        return self.api.handle(request(*args, **kwargs))


def test_a_job_is_stored_before_it_is_accepted(process):
    assert process.ask("POST", body=job_body()).status == 200
    (record,) = process.store.records
    submission = decode_submission(record.value)
    assert (submission.queue, submission.account, submission.pool) == ("r-1", "t", "pool")
    assert submission.steps[0].count == 2 and submission.steps[0].cpu_millis == 500


def test_a_repeated_submission_is_stored_once(process):
    for _ in range(2):
        assert process.ask("POST", body=job_body()).status == 200
    assert len(process.store.records) == 1


def test_states_are_shown_and_unknown_jobs_answer_410(process):
    assert process.ask("GET").status == 410
    process.ask("POST", body=job_body())
    assert process.ask("GET").content == {"state": "queued"}
    assert process.ask("GET", path="/q/").content == {"pending": 1}
    assert process.ask("DELETE").status == 200
    assert process.ask("GET").content == {"state": "cancelled"}


def test_a_job_that_another_process_accepted_is_found_in_the_store(process):
    other = _Process()
    other.share_store(process)
    other.ask("POST", body=job_body())
    assert process.ask("GET").content == {"state": "queued"}


def test_only_the_account_of_a_job_sees_it(process):
    process.ask("POST", body=job_body())
    tenants = [{"name": "t", "api-keys": ["k"]}, {"name": "u", "api-keys": ["l"]}]
    process.holder.put_configuration(configuration_bytes(2, tenants=tenants))
    assert process.ask("GET", key="l").status == 410
    assert process.ask("DELETE", key="l").status == 410


def test_unknown_routes_keys_and_ids_are_rejected(process):
    assert process.ask("GET", path="/elsewhere/").status == 404
    assert process.ask("GET", host="other.example").status == 404
    assert process.ask("GET", key="wrong").status == 401
    assert process.ask("GET", key=None).status == 401
    assert process.ask("GET", path="/q/not-an-id").status == 404
    assert process.ask("PUT").status == 405


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b"[]",
        b'{"spec":"s","steps":[{"count":1,"x":' + b"[" * 2_000 + b"]" * 2_000 + b"}]}",
        job_body(steps=[]),
        job_body(steps=[{"count": 0}]),
        job_body(steps=[{"count": 1, "after": [0]}]),
        job_body(steps=[{"count": 1, "after": [1]}, {"count": 1}]),
        job_body(spec="x" * 5_000),
        job_body(steps=[{"count": 1, "cpu": -5}]),
        job_body(**{"times": 1, "start-at-ms": 2**64}),
        job_body(**{"times": 1, "start-at-ms": 10**15}),
        job_body(**{"times": 1, "start-at-ms": 10**400}),
        job_body(**{"times": 10**400}),
    ],
)
def test_an_invalid_body_is_rejected_and_nothing_is_stored(process, body):
    response = process.ask("POST", body=body)
    assert response.status == 400 and "nothing was stored" in response.content["error"]
    assert process.store.records == []


def test_an_oversized_body_is_rejected(process):
    assert process.ask("POST", body=b" " * 10_001).status == 413


def test_jobs_are_rejected_before_the_first_configuration(process):
    process.api = JobApi(ConfigurationHolder(), process.api._service, LocalMetrics())
    response = process.ask("POST", body=job_body())
    assert response.status == 503 and response.retry_after_s


def test_a_job_that_the_store_refuses_is_reported_as_not_stored(process):
    process.store.is_down = True
    response = process.ask("POST", body=job_body())
    assert response.status == 503 and response.retry_after_s and process.store.records == []


def test_outage_no_job_is_appended_to_a_store_that_does_not_answer(process):
    """After an unanswered append the caller could not be told whether the job was stored."""
    process.lag_s = 1.5
    response = process.ask("POST", body=job_body())
    assert response.status == 503 and response.retry_after_s and process.store.records == []
    process.lag_s = 0.5
    assert process.ask("POST", body=job_body()).status == 200


def test_outage_an_append_with_lost_answers_is_retried_within_the_deadline(process):
    """With half of all answers lost, three lost answers in a row must still fit the deadline."""
    process.store.replies_to_lose = 3
    assert process.ask("POST", body=job_body()).status == 200
    assert len(process.store.records) == 1


def test_an_append_with_a_lost_answer_is_retried(process):
    process.store.replies_to_lose = 1
    assert process.ask("POST", body=job_body()).status == 200


def test_an_unclear_append_is_not_reported_as_not_stored(process, monkeypatch):
    _delay_appends(process)
    monkeypatch.setattr("almondstack.platform.job_api._MAX_STORE_WAIT_S", 0.2)
    assert process.ask("POST", body=job_body()).status == 504


def test_burst_a_job_with_a_short_wait_is_accepted(process):
    notice = OwnerNotice("me", 1, "", {"pool/t": 1_000, "pool/other": 60_000})
    process.index.apply(record_key(RecordKind.OWNER), encode_notice(notice))
    assert process.ask("POST", body=job_body()).status == 200


def test_an_older_configuration_does_not_replace_a_newer_one(process):
    process.holder.put_configuration(configuration_bytes(7, routes=[]))
    assert process.holder.put_configuration(configuration_bytes(3)) is None
    assert process.ask("GET", path="/q/").status == 404


def test_job_ids_have_sixteen_digits(process):
    assert process.ask("POST", path=f"/q/{JOB}0", body=job_body()).status == 404


def _two_processes():
    """Return two processes that share a store."""
    first, second = _Process(), _Process()
    second.share_store(first)
    return first, second


def _delay_appends(process):
    """Delay a process's appends; return the store that carries them out on request."""
    late = DelayedAppendStore(process.store)
    process.api._service._direct._store = late
    return late


def test_a_job_that_the_owner_rejects_as_queue_full_gets_a_retry_time(process):
    process.owner.receipts.append(Receipt(Verdict.FULL, 3_400.0))
    response = process.ask("POST", body=job_body())
    assert response.status == 429 and 3 <= response.retry_after_s <= 5
    assert process.store.records == []


def test_flood_a_caller_is_told_the_time_that_the_owner_has_set_for_its_place(process):
    process.owner.receipts.append(Receipt(Verdict.FULL, 3_400.0, 7))
    assert process.ask("POST", body=job_body()).retry_after_s == 7


def test_flood_without_an_owner_callers_are_told_rising_times(process):
    notice = OwnerNotice("me", 1, "", {"pool/t": 9_000}, entitled_millis={"t": 1_000})
    process.index.apply(record_key(RecordKind.OWNER), encode_notice(notice))
    responses = [
        process.ask("POST", path=f"/q/{number:016x}", body=job_body()) for number in range(4)
    ]
    assert [response.status for response in responses] == [503] * 4
    told_s = [response.retry_after_s for response in responses]
    assert told_s == sorted(told_s) and told_s[0] >= 2 and told_s[-1] > told_s[0]
    assert process.store.records == []


def test_burst_without_an_owner_a_job_that_would_be_late_is_rejected_at_once(process):
    """The status is 503, not 429: only the owner can rule out that another attempt is stored."""
    process.store_notice(t=60_000)
    response = process.ask("POST", body=job_body())
    assert response.status == 503 and response.retry_after_s
    assert len(process.store.records) == 1


def test_a_job_that_the_owner_stores_is_shown_at_once(process):
    process.owner.receipts.append(Receipt(Verdict.DONE))
    assert process.ask("POST", body=job_body()).status == 200
    assert process.ask("GET").content == {"state": "queued"}
    assert process.store.records == []


def test_a_cancel_that_the_owner_stores_is_shown_at_once(process):
    process.owner.receipts.extend([Receipt(Verdict.DONE), Receipt(Verdict.DONE)])
    process.ask("POST", body=job_body())
    assert process.ask("DELETE").status == 200
    assert process.ask("GET").content == {"state": "cancelled"}
    assert process.store.records == []


def test_a_job_that_the_owner_does_not_answer_is_stored_directly(process):
    """The owner may be paused; the deadline still leaves time for a direct append."""
    process.owner.failure = OwnerUnclearError("no answer")
    assert process.ask("POST", body=job_body()).status == 200
    assert len(process.store.records) == 1


def test_a_job_that_an_unresponsive_owner_may_store_is_not_reported_as_not_stored(process):
    process.owner.failure = OwnerUnclearError("no answer")
    process.store.is_down = True
    assert process.ask("POST", body=job_body()).status == 504
    process.owner.failure = OwnerNotReachedError("no connection")
    assert process.ask("POST", body=job_body()).status == 504


@pytest.mark.parametrize("is_repeated", [False, True])
def test_a_job_that_the_owner_has_not_stored_stays_unclear_after_an_unclear_attempt(
    process, is_repeated
):
    if is_repeated:
        process.owner.failure = OwnerUnclearError("no answer")
        process.store.is_down = True
        assert process.ask("POST", body=job_body()).status == 504
    process.owner.receipts.append(Receipt(Verdict.NOT_STORED))
    assert process.ask("POST", body=job_body()).status == (504 if is_repeated else 503)


def test_an_attempt_that_began_before_a_refusal_record_is_not_stored(process):
    """The owner has rejected the same job, submitted through another process, in the meantime."""
    process.store.records.append(Record(record_key(RecordKind.REFUSAL, JOB), b""))
    assert process.ask("POST", body=job_body()).status == 503
    assert len(process.store.records) == 1
    assert process.ask("POST", body=job_body()).status == 200


def test_an_attempt_that_may_have_missed_a_refusal_is_not_stored(process, monkeypatch):
    """A snapshot of the newest records does not contain refusals."""
    sync = process.sync

    def fill():
        process.index.note_resync()
        sync()

    monkeypatch.setattr(process, "sync", fill)
    assert process.ask("POST", body=job_body()).status == 503
    assert process.store.records == []


def test_an_append_that_lost_a_race_is_retried_at_the_new_end_of_the_log(process):
    """Other processes append at the same time."""
    append_at = process.store.append_at

    def lose_race(*arguments):
        process.store.append_at = append_at
        process.store_notice()
        append_at(*arguments)

    process.store.append_at = lose_race
    assert process.ask("POST", body=job_body()).status == 200
    assert len(process.store.records) == 2


def test_many_processes_an_append_that_loses_every_race_is_retried_with_pauses(
    process, monkeypatch
):
    """Without pauses, hundreds of processes would exhaust the store's rate limit."""
    tries = []

    def lose_every_race(*arguments):
        tries.append(arguments)
        raise LogMovedError("another append came first")

    monkeypatch.setattr(process.store, "append_at", lose_every_race)
    monkeypatch.setattr("almondstack.intake.direct.time", _SleepClock())
    response = process.ask("POST", body=job_body(), deadline_s=0.65)
    assert response.status == 503 and response.retry_after_s
    assert 2 <= len(tries) <= 20


def test_a_job_that_another_process_stored_first_is_found_in_the_store():
    """This process has read less of the log, so its append fails and it reads on."""
    process, other = _two_processes()
    other.store_notice()
    assert other.ask("POST", body=job_body()).status == 200
    assert process.ask("POST", body=job_body()).status == 200
    assert len(process.store.records) == 2


@pytest.mark.parametrize("fault", ["silent", "down"])
def test_after_an_unanswered_attempt_the_job_is_not_reported_as_not_stored(
    process, monkeypatch, fault
):
    """The caller retries at the same process while the store is unavailable."""
    monkeypatch.setattr("almondstack.platform.job_api._MAX_STORE_WAIT_S", 0.2)
    late = _delay_appends(process)
    assert process.ask("POST", body=job_body()).status == 504
    process.use_store(process.store)
    process.lag_s = 5.0 if fault == "silent" else 0.0
    process.store.is_down = True
    assert process.ask("POST", body=job_body()).status == 504
    process.lag_s, process.store.is_down = 0.0, False
    late.carry_out()
    assert process.ask("POST", body=job_body()).status == 200
    assert len(process.store.records) == 1


def test_a_submission_of_the_same_id_by_another_account_is_a_conflict():
    """Two accounts submit the same id almost at the same time."""
    process, other = _two_processes()
    tenants = [{"name": "t", "api-keys": ["k"]}, {"name": "u", "api-keys": ["l"]}]
    other.holder.put_configuration(configuration_bytes(2, tenants=tenants))
    assert process.ask("POST", body=job_body()).status == 200
    assert other.ask("POST", key="l", body=job_body()).status == 409
    accounts = [decode_submission(record.value).account for record in process.store.records]
    assert accounts == ["t"]


def test_a_job_that_a_slow_store_cannot_store_in_time_is_rejected_at_once(process):
    """Callers waited until their deadlines, which cost 47 units of value in one day.

    Seen in lbna-almond-grown, trouble-2.
    """
    process.store.latency.note_append(2.4)
    response = process.ask("POST", body=job_body(), deadline_s=1.5)
    assert (response.status, response.retry_after_s) == (503, 1)
    assert process.store.records == []


def test_slow_store_a_job_waits_for_the_next_owner_and_is_not_appended_directly(process):
    """Sixty processes appended directly, and the next owner's claim was queued behind them."""
    process.store.latency.note_append(0.4)
    process.owner.failures = [OwnerNotReachedError("the owner has released the jobs")] * 2
    process.owner.receipts.append(Receipt(Verdict.DONE))
    assert process.ask("POST", body=job_body(), deadline_s=1.5).status == 200
    assert process.store.records == []


def test_slow_store_a_job_without_an_owner_is_not_appended_directly(process):
    process.store.latency.note_append(0.4)
    response = process.ask("POST", body=job_body(), deadline_s=0.7)
    assert response.status == 503 and response.retry_after_s
    assert process.store.records == []


def test_slow_store_after_an_unclear_attempt_the_job_stays_unclear(process, monkeypatch):
    """The first attempt may still be carried out, so "not stored" could be wrong."""
    monkeypatch.setattr("almondstack.platform.job_api._MAX_STORE_WAIT_S", 0.2)
    store = process.store
    late = _delay_appends(process)
    assert process.ask("POST", body=job_body()).status == 504
    store.latency.note_append(2.4)
    assert process.ask("POST", body=job_body(), deadline_s=1.5).status == 504
    late.carry_out()
    assert len(store.records) == 1


def test_cut_off_a_rejected_caller_must_retry_over_a_new_connection(process):
    """Over a connection that stays open, each retry would reach the process that is cut off."""
    server = JobApiServer(free_address(), process.api, threads=2)
    server.prepare()
    thread = threading.Thread(target=server.serve, daemon=True)
    thread.start()
    try:
        process.lag_s = 5.0
        assert _post(server, "1" * 16) == (503, "close")
        process.lag_s = 0.0
        assert _post(server, "2" * 16) == (200, None)
    finally:
        server.stop()
        thread.join()


def _post(server, job):
    """Submit a job over loopback; return the status and the Connection header of the response."""
    connection = http.client.HTTPConnection(*server.bind_addr, timeout=10)
    submission = request("POST", path=f"/q/{job}", body=job_body())
    headers = {"Host": submission.host, "Authorization": f"Bearer {submission.key}"}
    connection.request("POST", submission.path, submission.body, headers)
    response = connection.getresponse()
    response.read()
    connection.close()
    return response.status, response.headers.get("Connection")


def test_behind_an_unknown_state_is_not_looked_up_in_the_store(process):
    """Lookups of a process that was cut off from the store blocked all of its threads."""
    process.lag_s = 5.0
    process.sync = None
    assert process.ask("GET").status == 503
