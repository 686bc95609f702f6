"""Whole requests: answers that break, callers that hang up, ids, tickets, revocations."""

import json
import threading
import time

import msgspec

from almondstack.core import Reason, RequestError, SystemClock, new_request_id
from almondstack.entry.contract import AlwaysConnected
from almondstack.fold import Fold
from almondstack.model import (
    EntryFenced,
    EntryJoined,
    KeyRevoked,
    Queue,
    encode_record,
    revocation_proof,
)
from almondstack.once import OnceSettings, TicketIssuer
from almondstack.testing.builders import make_fold, make_note, make_team
from almondstack.testing.entries import FakeAnswer, running_entry
from almondstack.testing.fake_log import FakeLog
from almondstack.testing.raw_http import connect, exchange, read_to_end, submission, wait_until


def ok(call):
    return FakeAnswer([b"done"], 4)


def refuse(reason):
    def run(call):
        raise RequestError(reason)

    return run


def test_answer_that_breaks_off_ends_abnormally():
    broken = RequestError(Reason.UPSTREAM_BROKE)
    for version, length in (("1.1", None), ("1.1", 10), ("1.0", None)):
        answer = FakeAnswer([b"abc", broken], length)
        with running_entry(lambda call, answer=answer: answer) as entry:
            got = exchange(entry.address, submission(version=version))
            assert got.is_reset or not got.data.endswith(b"0\r\n\r\n")
            assert got.is_reset
            assert wait_until(lambda answer=answer: answer.is_closed)
            assert wait_until(lambda entry=entry: entry.parts.calls.count == 0)


def test_large_answer_is_streamed_with_its_length():
    pieces = [bytes([number]) * 65_536 for number in range(32)]
    with running_entry(lambda call: FakeAnswer(pieces, 32 * 65_536)) as entry:
        got = exchange(entry.address, submission())
        assert got.body == b"".join(pieces)
        assert got.header("almondstack-outcome") == "answered"


def test_large_body_is_streamed_once():
    seen = []

    def run(call):
        seen.append(call.body.is_replayable)
        size = sum(len(piece) for piece in call.body.chunks())
        seen.append(call.body.is_replayable)
        return FakeAnswer([str(size).encode()], None)

    with running_entry(run) as entry:
        got = exchange(entry.address, submission(body=b"x" * 500_000))
        assert b"500000" in got.body
        assert seen == [True, False]


def test_callers_that_hang_up_free_their_places():
    with running_entry(threads=64) as entry:
        for _ in range(4):
            callers = [connect(entry.address) for _ in range(50)]
            for caller in callers:
                caller.sendall(submission(body=b"x"))
            assert wait_until(lambda: len(entry.dispatcher.waiting) == 50)
            for caller in callers:
                caller.close()
            assert wait_until(lambda: not entry.dispatcher.waiting)
        assert entry.dispatcher.abandoned_count == 200
        assert wait_until(lambda: entry.parts.calls.count == 0)


def test_id_runs_once_and_again_only_if_not_run():
    request_id = new_request_id()
    log = FakeLog()
    with running_entry(ok, log=log) as entry:
        entry.dispatcher.run = refuse(Reason.QUEUE_FULL)
        first = exchange(entry.address, submission(f"Idempotency-Key: {request_id}"))
        assert (first.status, first.header("almondstack-outcome")) == (503, "not-run")
        entry.dispatcher.run = ok
        assert wait_until(
            lambda: exchange(entry.address, submission(f"Idempotency-Key: {request_id}")).status
            == 200
        )
        again = exchange(entry.address, submission(f"Idempotency-Key: {request_id}"))
        assert (again.status, again.header("almondstack-reason")) == (409, "id-claimed")
    with running_entry(ok, log=log, incarnation="entry-2~00") as other:
        assert wait_until(lambda: other.once.follower.is_ready)
        elsewhere = exchange(other.address, submission(f"Idempotency-Key: {request_id}"))
        assert elsewhere.status == 409
        assert elsewhere.header("almondstack-outcome") == "unknown"
        assert other.dispatcher.calls == []


def test_id_of_unknown_outcome_is_never_run_again():
    request_id = new_request_id()
    with running_entry(refuse(Reason.UPSTREAM_BROKE)) as entry:
        first = exchange(entry.address, submission(f"Idempotency-Key: {request_id}"))
        assert (first.status, first.header("almondstack-outcome")) == (502, "unknown")
        entry.dispatcher.run = ok
        again = exchange(entry.address, submission(f"Idempotency-Key: {request_id}"))
        assert again.status == 409
        assert len(entry.dispatcher.calls) == 1


def test_silent_log_refuses_ids_but_serves_tickets():
    log = FakeLog()
    with running_entry(ok, log=log, once=OnceSettings(claim_timeout_s=0.2)) as entry:
        tickets = _tickets(entry.address, 1)
        log.is_down = True
        got = exchange(entry.address, submission(f"Idempotency-Key: {new_request_id()}"))
        assert got.header("almondstack-reason") == "claims-unavailable"
        assert got.header("almondstack-outcome") == "not-run"
        assert entry.dispatcher.calls == []
        assert exchange(entry.address, submission(f"Idempotency-Key: {tickets[0]}")).status == 200
        twice = exchange(entry.address, submission(f"Idempotency-Key: {tickets[0]}"))
        assert twice.header("almondstack-reason") == "id-claimed"
        assert len(entry.dispatcher.calls) == 1


def test_ticket_is_started_by_its_issuer_only():
    fold = make_fold()
    with running_entry(ok, fold=fold) as issuer:
        _join(fold, issuer.parts.incarnation, issuer.address)
        ticket = _tickets(issuer.address, 1)[0]
        with running_entry(ok, fold=fold, incarnation="entry-2~00") as other:
            data = submission(f"Idempotency-Key: {ticket}", body=b"run")
            got = exchange(other.address, data)
            assert (got.status, got.body) == (200, b"done")
            assert got.header("almondstack-outcome") == "answered"
            assert exchange(other.address, data).header("almondstack-reason") == "id-claimed"
            assert other.dispatcher.calls == []
            assert len(issuer.dispatcher.calls) == 1
            issuer.stop()
            gone = exchange(other.address, submission(f"Idempotency-Key: {ticket}"))
            assert gone.header("almondstack-reason") == "ticket-holder-unreachable"
            assert gone.header("almondstack-outcome") == "unknown"


def test_waiting_request_is_cancelled_through_another_entry():
    log = FakeLog()
    fold = make_fold()
    request_id = new_request_id()
    with (
        running_entry(fold=fold, log=log) as holder,
        running_entry(ok, fold=fold, log=log, incarnation="entry-2~00") as other,
    ):
        _join(fold, holder.parts.incarnation, holder.address)
        with connect(holder.address) as waiting:
            waiting.sendall(submission(f"Idempotency-Key: {request_id}"))
            assert wait_until(lambda: holder.dispatcher.waiting)
            assert wait_until(lambda: other.once.guard.claims.holder_of("north", request_id))
            cancel = _delete(other.address, request_id)
            assert (cancel.status, cancel.header("almondstack-outcome")) == (200, "not-run")
            assert read_to_end(waiting).header("almondstack-reason") == "cancelled"
        assert _delete(other.address, request_id).header("almondstack-reason") == "id-not-found"


def test_revocation_by_operator_and_by_log_stops_a_key(tmp_path):
    fold = make_fold()
    with running_entry(ok, fold=fold) as entry:
        assert exchange(entry.address, submission()).status == 200
        entry.parts.revocations.add("k1")
        got = exchange(entry.address, submission())
        assert (got.status, got.header("almondstack-reason")) == (401, "key-revoked")
    fold.apply(fold.next_offset, encode_record("operator", 9, KeyRevoked("k1")))
    with running_entry(ok, fold=fold) as entry:
        assert exchange(entry.address, submission()).status == 401


def test_operator_must_prove_the_token(tmp_path):
    token_file = tmp_path / "token"
    token_file.write_text("operators-token\n")
    with running_entry(ok) as entry:
        settings = msgspec.structs.replace(entry.settings, operator_token_file=str(token_file))
        entry.parts.settings = settings
        entry.server.handler = type(entry.server.handler)(entry.parts)
        wrong = _revoke(entry.address, "k1", "nonsense")
        assert wrong.status == 401
        assert exchange(entry.address, submission()).status == 200
        right = _revoke(entry.address, "k1", revocation_proof("operators-token", "k1"))
        assert right.status == 200
        assert exchange(entry.address, submission()).status == 401


def test_key_revoked_while_the_call_waited_is_not_run():
    with running_entry(ok) as entry:

        def revoke_then_start(call):
            entry.parts.revocations.add("k1")
            call.before_start()

        entry.dispatcher.run = revoke_then_start
        got = exchange(entry.address, submission())
        assert (got.status, got.header("almondstack-outcome")) == (401, "not-run")


def test_entry_that_stops_refuses_and_finishes_what_it_admitted():
    with running_entry() as entry, connect(entry.address) as waiting:
        waiting.sendall(submission())
        assert wait_until(lambda: entry.dispatcher.waiting)
        entry.parts.stop_taking()
        got = exchange(entry.address, submission())
        assert got.header("almondstack-reason") == "shutting-down"
        assert not entry.parts.calls.wait_until_empty(0.05)
        call, ended = next(iter(entry.dispatcher.waiting.values()))
        ended.set()
        assert read_to_end(waiting).status == 409
        assert entry.parts.calls.wait_until_empty(5.0)


def test_entry_without_configuration_and_fenced_entry_are_not_ready():
    with running_entry(ok, fold=Fold()) as entry:
        got = exchange(entry.address, b"GET /readyz HTTP/1.1\r\nConnection: close\r\n\r\n")
        assert (got.status, got.header("almondstack-reason")) == (503, "not-ready")
        live = exchange(entry.address, b"GET /livez HTTP/1.1\r\nConnection: close\r\n\r\n")
        assert live.status == 200


def test_deadline_bounds_a_body_that_trickles():
    with running_entry(ok) as entry, connect(entry.address) as connection:
        started_s = time.monotonic()
        connection.sendall(
            submission("Almondstack-Deadline-Ms: 300", "Content-Length: 100", body=b"x")
        )
        answer = read_to_end(connection)
        assert answer.header("almondstack-reason") in ("", "body-incomplete")
        assert time.monotonic() - started_s < 10.0
        assert entry.dispatcher.calls == []


def _tickets(address: str, count: int) -> list[str]:
    head = f"POST /v1/tickets?count={count} HTTP/1.1\r\nAuthorization: Bearer k1.secret\r\n"
    got = exchange(address, (head + "Connection: close\r\nContent-Length: 0\r\n\r\n").encode())
    assert got.status == 200
    return json.loads(got.body)["tickets"]


def _delete(address: str, request_id: str):
    head = f"DELETE /v1/queues/invoices/requests/{request_id} HTTP/1.1\r\n"
    rest = "Authorization: Bearer k1.secret\r\nConnection: close\r\n\r\n"
    return exchange(address, (head + rest).encode())


def _revoke(address: str, key_id: str, proof: str):
    body = json.dumps({"key_id": key_id, "proof": proof}).encode()
    head = f"POST /v1/operator/revocations HTTP/1.1\r\nContent-Length: {len(body)}\r\n"
    return exchange(address, (head + "Connection: close\r\n\r\n").encode() + body)


def _join(fold: Fold, incarnation: str, address: str) -> None:
    body = EntryJoined(incarnation, "entry-1", "a", "r", address, "127.0.0.1:1")
    verdict = fold.apply(fold.next_offset, encode_record(incarnation, 1, body))
    assert verdict.is_accepted


def test_started_request_cannot_be_cancelled():
    request_id = new_request_id()
    started, ended = threading.Event(), threading.Event()

    def run(call):
        started.set()
        ended.wait(10.0)
        return FakeAnswer([b"done"], 4)

    with running_entry(run) as entry, connect(entry.address) as caller:
        caller.sendall(submission(f"Idempotency-Key: {request_id}"))
        assert started.wait(10.0)
        got = _delete(entry.address, request_id)
        assert (got.status, got.header("almondstack-reason")) == (409, "already-started")
        ended.set()
        assert read_to_end(caller).status == 200


def test_team_may_use_only_its_queues():
    note = make_note(
        teams=(make_team(), make_team("south")),
        queues=(Queue(name="invoices", pool="score", teams=("south",)),),
    )
    with running_entry(ok, fold=make_fold(note)) as entry:
        got = exchange(entry.address, submission())
        assert (got.status, got.header("almondstack-reason")) == (403, "team-not-allowed")


def test_cut_off_entry_refuses_strict_queues_only():
    queues = (Queue(name="invoices", pool="score"), Queue(name="pay", pool="score", is_strict=True))
    with running_entry(ok, fold=make_fold(make_note(queues=queues))) as entry:
        entry.parts.connectivity = CutOff()
        assert exchange(entry.address, submission()).status == 200
        got = exchange(entry.address, submission(queue="pay"))
        assert got.header("almondstack-reason") == "cut-off-strict"
        assert got.header("almondstack-outcome") == "not-run"


def test_fenced_entry_starts_nothing():
    fold = make_fold()
    with running_entry(ok, fold=fold) as entry:
        _join(fold, entry.parts.incarnation, entry.address)
        body = EntryFenced(entry.parts.incarnation, "gone from the list")
        fold.apply(fold.next_offset, encode_record("keeper", 1, body))
        got = exchange(entry.address, submission())
        assert (got.status, got.header("almondstack-reason")) == (503, "fenced")
        assert entry.dispatcher.calls == []


def test_entry_that_was_paused_starts_nothing_before_it_knows_more():
    with running_entry(ok) as entry:
        entry.parts.connectivity = JustWoken()
        got = exchange(entry.address, submission())
        assert got.header("almondstack-reason") == "fenced"
        assert got.header("almondstack-outcome") == "not-run"


def test_fault_of_the_entry_is_a_typed_unknown():
    def run(call):
        raise ZeroDivisionError

    with running_entry(run) as entry:
        got = exchange(entry.address, submission())
        assert (got.status, got.header("almondstack-outcome")) == (500, "unknown")
        assert wait_until(lambda: entry.parts.calls.count == 0)


def test_ticket_of_an_entry_that_the_log_knows_as_gone():
    fold = make_fold()
    with running_entry(ok, fold=fold, incarnation="entry-2~00") as entry:
        ticket = TicketIssuer("entry-1~00", OnceSettings(), SystemClock()).issue("north", 1)[0]
        got = exchange(entry.address, submission(f"Idempotency-Key: {ticket}"))
        assert got.header("almondstack-reason") == "ticket-holder-gone"
        assert got.header("almondstack-outcome") == "unknown"
        assert entry.dispatcher.calls == []


class CutOff(AlwaysConnected):
    is_cut_off = True


class JustWoken(AlwaysConnected):
    is_start_allowed = False
