"""Complete requests: aborted answers, closed connections, ids, tickets, revocations."""

import json
import threading
import time

import msgspec

from almondstack.at_most_once import OnceSettings, TicketIssuer
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
from almondstack.testing.builders import make_fold, make_note, make_team
from almondstack.testing.entries import FakeResponse, running_entry
from almondstack.testing.fake_log import FakeLog
from almondstack.testing.raw_http import connect, exchange, read_to_end, submission, wait_until


def respond_done(call):
    return FakeResponse([b"done"], 4)


def refuse(reason):
    def run(call):
        raise RequestError(reason)

    return run


def test_aborted_answer_ends_with_a_connection_reset():
    broken = RequestError(Reason.UPSTREAM_BROKE)
    for version, length in (("1.1", None), ("1.1", 10), ("1.0", None)):
        upstream_response = FakeResponse([b"abc", broken], length)
        with running_entry(
            lambda call, upstream_response=upstream_response: upstream_response
        ) as entry:
            response = exchange(entry.address, submission(version=version))
            assert response.is_reset or not response.data.endswith(b"0\r\n\r\n")
            assert response.is_reset
            assert wait_until(
                lambda upstream_response=upstream_response: upstream_response.is_closed
            )
            assert wait_until(lambda entry=entry: entry.parts.calls.count == 0)


def test_large_answer_is_streamed_with_its_length():
    pieces = [bytes([number]) * 65_536 for number in range(32)]
    with running_entry(lambda call: FakeResponse(pieces, 32 * 65_536)) as entry:
        response = exchange(entry.address, submission())
        assert response.body == b"".join(pieces)
        assert response.header("almondstack-outcome") == "answered"


def test_large_body_is_streamed_once():
    seen = []

    def run(call):
        seen.append(call.body.is_replayable)
        size = sum(len(piece) for piece in call.body.chunks())
        seen.append(call.body.is_replayable)
        return FakeResponse([str(size).encode()], None)

    with running_entry(run) as entry:
        response = exchange(entry.address, submission(body=b"x" * 500_000))
        assert b"500000" in response.body
        assert seen == [True, False]


def test_callers_that_close_their_connection_leave_the_queue():
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


def test_id_is_run_again_only_if_it_has_not_run():
    request_id = new_request_id()
    log = FakeLog()
    with running_entry(respond_done, log=log) as entry:
        entry.dispatcher.run = refuse(Reason.QUEUE_FULL)
        first = exchange(entry.address, submission(f"Idempotency-Key: {request_id}"))
        assert (first.status, first.header("almondstack-outcome")) == (503, "not-run")
        entry.dispatcher.run = respond_done
        assert wait_until(
            lambda: exchange(entry.address, submission(f"Idempotency-Key: {request_id}")).status
            == 200
        )
        again = exchange(entry.address, submission(f"Idempotency-Key: {request_id}"))
        assert (again.status, again.header("almondstack-reason")) == (409, "id-claimed")
    with running_entry(respond_done, log=log, incarnation="entry-2~00") as other:
        assert wait_until(lambda: other.once.follower.is_ready)
        other_response = exchange(other.address, submission(f"Idempotency-Key: {request_id}"))
        assert other_response.status == 409
        assert other_response.header("almondstack-outcome") == "unknown"
        assert other.dispatcher.calls == []


def test_id_of_unknown_outcome_is_never_run_again():
    request_id = new_request_id()
    with running_entry(refuse(Reason.UPSTREAM_BROKE)) as entry:
        first = exchange(entry.address, submission(f"Idempotency-Key: {request_id}"))
        assert (first.status, first.header("almondstack-outcome")) == (502, "unknown")
        entry.dispatcher.run = respond_done
        again = exchange(entry.address, submission(f"Idempotency-Key: {request_id}"))
        assert again.status == 409
        assert len(entry.dispatcher.calls) == 1


def test_unreachable_log_refuses_ids_but_not_tickets():
    log = FakeLog()
    with running_entry(respond_done, log=log, once=OnceSettings(claim_timeout_s=0.2)) as entry:
        tickets = _issue_tickets(entry.address, 1)
        log.is_down = True
        response = exchange(entry.address, submission(f"Idempotency-Key: {new_request_id()}"))
        assert response.header("almondstack-reason") == "claims-unavailable"
        assert response.header("almondstack-outcome") == "not-run"
        assert entry.dispatcher.calls == []
        assert exchange(entry.address, submission(f"Idempotency-Key: {tickets[0]}")).status == 200
        second = exchange(entry.address, submission(f"Idempotency-Key: {tickets[0]}"))
        assert second.header("almondstack-reason") == "id-claimed"
        assert len(entry.dispatcher.calls) == 1


def test_ticket_is_started_by_its_issuer_only():
    fold = make_fold()
    with running_entry(respond_done, fold=fold) as issuer:
        _record_join(fold, issuer.parts.incarnation, issuer.address)
        ticket = _issue_tickets(issuer.address, 1)[0]
        with running_entry(respond_done, fold=fold, incarnation="entry-2~00") as other:
            data = submission(f"Idempotency-Key: {ticket}", body=b"run")
            response = exchange(other.address, data)
            assert (response.status, response.body) == (200, b"done")
            assert response.header("almondstack-outcome") == "answered"
            assert exchange(other.address, data).header("almondstack-reason") == "id-claimed"
            assert other.dispatcher.calls == []
            assert len(issuer.dispatcher.calls) == 1
            issuer.stop()
            unreachable = exchange(other.address, submission(f"Idempotency-Key: {ticket}"))
            assert unreachable.header("almondstack-reason") == "ticket-holder-unreachable"
            assert unreachable.header("almondstack-outcome") == "unknown"


def test_waiting_request_is_cancelled_through_another_entry():
    log = FakeLog()
    fold = make_fold()
    request_id = new_request_id()
    with (
        running_entry(fold=fold, log=log) as holder,
        running_entry(respond_done, fold=fold, log=log, incarnation="entry-2~00") as other,
    ):
        _record_join(fold, holder.parts.incarnation, holder.address)
        with connect(holder.address) as waiting:
            waiting.sendall(submission(f"Idempotency-Key: {request_id}"))
            assert wait_until(lambda: holder.dispatcher.waiting)
            assert wait_until(lambda: other.once.guard.claims.holder_of("north", request_id))
            cancel = _cancel(other.address, request_id)
            assert (cancel.status, cancel.header("almondstack-outcome")) == (200, "not-run")
            assert read_to_end(waiting).header("almondstack-reason") == "cancelled"
        assert _cancel(other.address, request_id).header("almondstack-reason") == "id-not-found"


def test_revocation_by_operator_or_by_log_disables_a_key(tmp_path):
    fold = make_fold()
    with running_entry(respond_done, fold=fold) as entry:
        assert exchange(entry.address, submission()).status == 200
        entry.parts.revocations.add("k1")
        response = exchange(entry.address, submission())
        assert (response.status, response.header("almondstack-reason")) == (401, "key-revoked")
    fold.apply(fold.next_offset, encode_record("operator", 9, KeyRevoked("k1")))
    with running_entry(respond_done, fold=fold) as entry:
        assert exchange(entry.address, submission()).status == 401


def test_revocation_requires_a_proof_of_the_operator_token(tmp_path):
    token_file = tmp_path / "token"
    token_file.write_text("operators-token\n")
    with running_entry(respond_done) as entry:
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
    with running_entry(respond_done) as entry:

        def revoke_then_start(call):
            entry.parts.revocations.add("k1")
            call.before_start()

        entry.dispatcher.run = revoke_then_start
        response = exchange(entry.address, submission())
        assert (response.status, response.header("almondstack-outcome")) == (401, "not-run")


def test_shutdown_refuses_new_requests_and_finishes_admitted_ones():
    with running_entry() as entry, connect(entry.address) as waiting:
        waiting.sendall(submission())
        assert wait_until(lambda: entry.dispatcher.waiting)
        entry.parts.stop_admitting()
        response = exchange(entry.address, submission())
        assert response.header("almondstack-reason") == "shutting-down"
        assert not entry.parts.calls.wait_until_empty(0.05)
        call, ended = next(iter(entry.dispatcher.waiting.values()))
        ended.set()
        assert read_to_end(waiting).status == 409
        assert entry.parts.calls.wait_until_empty(5.0)


def test_entry_without_configuration_is_live_but_not_ready():
    with running_entry(respond_done, fold=Fold()) as entry:
        response = exchange(entry.address, b"GET /readyz HTTP/1.1\r\nConnection: close\r\n\r\n")
        assert (response.status, response.header("almondstack-reason")) == (503, "not-ready")
        live = exchange(entry.address, b"GET /livez HTTP/1.1\r\nConnection: close\r\n\r\n")
        assert live.status == 200


def test_deadline_limits_the_time_to_receive_a_body():
    with running_entry(respond_done) as entry, connect(entry.address) as connection:
        started_s = time.monotonic()
        connection.sendall(
            submission("Almondstack-Deadline-Ms: 300", "Content-Length: 100", body=b"x")
        )
        response = read_to_end(connection)
        assert response.header("almondstack-reason") in ("", "body-incomplete")
        assert time.monotonic() - started_s < 10.0
        assert entry.dispatcher.calls == []


def _issue_tickets(address: str, count: int) -> list[str]:
    head = f"POST /v1/tickets?count={count} HTTP/1.1\r\nAuthorization: Bearer k1.secret\r\n"
    response = exchange(address, (head + "Connection: close\r\nContent-Length: 0\r\n\r\n").encode())
    assert response.status == 200
    return json.loads(response.body)["tickets"]


def _cancel(address: str, request_id: str):
    head = f"DELETE /v1/queues/invoices/requests/{request_id} HTTP/1.1\r\n"
    rest = "Authorization: Bearer k1.secret\r\nConnection: close\r\n\r\n"
    return exchange(address, (head + rest).encode())


def _revoke(address: str, key_id: str, proof: str):
    body = json.dumps({"key_id": key_id, "proof": proof}).encode()
    head = f"POST /v1/operator/revocations HTTP/1.1\r\nContent-Length: {len(body)}\r\n"
    return exchange(address, (head + "Connection: close\r\n\r\n").encode() + body)


def _record_join(fold: Fold, incarnation: str, address: str) -> None:
    body = EntryJoined(incarnation, "entry-1", "a", "r", address, "127.0.0.1:1")
    verdict = fold.apply(fold.next_offset, encode_record(incarnation, 1, body))
    assert verdict.is_accepted


def test_started_request_cannot_be_cancelled():
    request_id = new_request_id()
    started, ended = threading.Event(), threading.Event()

    def run(call):
        started.set()
        ended.wait(10.0)
        return FakeResponse([b"done"], 4)

    with running_entry(run) as entry, connect(entry.address) as caller:
        caller.sendall(submission(f"Idempotency-Key: {request_id}"))
        assert started.wait(10.0)
        response = _cancel(entry.address, request_id)
        assert (response.status, response.header("almondstack-reason")) == (409, "already-started")
        ended.set()
        assert read_to_end(caller).status == 200


def test_team_may_use_only_the_queues_that_allow_it():
    note = make_note(
        teams=(make_team(), make_team("south")),
        queues=(Queue(name="invoices", pool="score", teams=("south",)),),
    )
    with running_entry(respond_done, fold=make_fold(note)) as entry:
        response = exchange(entry.address, submission())
        assert (response.status, response.header("almondstack-reason")) == (403, "team-not-allowed")


def test_cut_off_entry_refuses_strict_queues_only():
    queues = (Queue(name="invoices", pool="score"), Queue(name="pay", pool="score", is_strict=True))
    with running_entry(respond_done, fold=make_fold(make_note(queues=queues))) as entry:
        entry.parts.connectivity = CutOff()
        assert exchange(entry.address, submission()).status == 200
        response = exchange(entry.address, submission(queue="pay"))
        assert response.header("almondstack-reason") == "cut-off-strict"
        assert response.header("almondstack-outcome") == "not-run"


def test_fenced_entry_starts_no_request():
    fold = make_fold()
    with running_entry(respond_done, fold=fold) as entry:
        _record_join(fold, entry.parts.incarnation, entry.address)
        body = EntryFenced(entry.parts.incarnation, "gone from the list")
        fold.apply(fold.next_offset, encode_record("keeper", 1, body))
        response = exchange(entry.address, submission())
        assert (response.status, response.header("almondstack-reason")) == (503, "fenced")
        assert entry.dispatcher.calls == []


def test_entry_whose_start_is_not_allowed_after_a_pause_refuses_requests():
    with running_entry(respond_done) as entry:
        entry.parts.connectivity = StartNotAllowed()
        response = exchange(entry.address, submission())
        assert response.header("almondstack-reason") == "fenced"
        assert response.header("almondstack-outcome") == "not-run"


def test_unexpected_exception_gives_status_500_and_unknown_outcome():
    def run(call):
        raise ZeroDivisionError

    with running_entry(run) as entry:
        response = exchange(entry.address, submission())
        assert (response.status, response.header("almondstack-outcome")) == (500, "unknown")
        assert wait_until(lambda: entry.parts.calls.count == 0)


def test_ticket_of_an_entry_that_is_not_in_the_log():
    fold = make_fold()
    with running_entry(respond_done, fold=fold, incarnation="entry-2~00") as entry:
        ticket = TicketIssuer("entry-1~00", OnceSettings(), SystemClock()).issue("north", 1)[0]
        response = exchange(entry.address, submission(f"Idempotency-Key: {ticket}"))
        assert response.header("almondstack-reason") == "ticket-holder-gone"
        assert response.header("almondstack-outcome") == "unknown"
        assert entry.dispatcher.calls == []


class CutOff(AlwaysConnected):
    """Connectivity of an entry that is cut off."""

    is_cut_off = True


class StartNotAllowed(AlwaysConnected):
    """Connectivity of an entry that resumed after a pause and may have been fenced."""

    is_start_allowed = False
