import json
import socket

import pytest
import urllib3
from urllib3.exceptions import HTTPError

from almondstack.core import parse_address
from almondstack.standin.journal import Journal, ProcessEnded, read_journal, record_process_end
from almondstack.standin.upstream import UpstreamFaults, UpstreamStandin
from almondstack.testing.addresses import free_address

_REQUEST = b"POST / HTTP/1.1\r\nHost: u\r\nStandin-Work-Id: 7\r\nContent-Length: 2\r\n\r\nhi"


def _post(upstream: UpstreamStandin, work_id: str = "7", **headers: str) -> urllib3.HTTPResponse:
    fields = {name.replace("_", "-"): value for name, value in headers.items()}
    return urllib3.PoolManager(retries=False).request(
        "POST",
        f"http://{upstream.address}/",
        body=b"hi",
        headers={"Standin-Work-Id": work_id, **fields},
        timeout=5.0,
    )


@pytest.fixture
def upstream():
    with UpstreamStandin("u1", free_address()) as running:
        yield running


def _receive_until_closed(upstream: UpstreamStandin) -> bytes:
    with socket.create_connection(parse_address(upstream.address), timeout=5.0) as connection:
        connection.sendall(_REQUEST)
        connection.shutdown(socket.SHUT_WR)
        return b"".join(iter(lambda: connection.recv(65_536), b""))


def test_answer_names_the_work_and_the_run_is_recorded(upstream):
    answer = json.loads(_post(upstream, Standin_Answer_Bytes="5").data)
    assert (answer["work_id"], answer["length"], answer["padding"]) == ("7", 2, "xxxxx")
    (run,) = upstream.runs()
    assert run.work_id == "7" and run.ended_s >= run.started_s


@pytest.mark.parametrize("fault", ["sends_garbage", "breaks_body"])
def test_broken_answers_raise_at_the_caller(upstream, fault):
    upstream.faults = UpstreamFaults(**{fault: True})
    with pytest.raises(HTTPError):
        _post(upstream)
    assert len(upstream.runs()) == 1


def test_broken_head_is_sent_incomplete(upstream):
    upstream.faults = UpstreamFaults(breaks_head=True)
    received = _receive_until_closed(upstream)
    assert received.startswith(b"HTTP/1.1 200") and b"\r\n\r\n" not in received


def test_answer_sent_twice_is_two_whole_answers(upstream):
    upstream.faults = UpstreamFaults(answers_twice=True)
    assert _receive_until_closed(upstream).count(b"HTTP/1.1 200") == 2
    assert len(upstream.runs()) == 1


def test_refusals_record_no_run_and_failures_do(upstream):
    upstream.faults = UpstreamFaults(is_draining=True)
    assert _post(upstream).headers["Almondstack-Draining"] == "yes"
    upstream.faults = UpstreamFaults(fails_fast=True)
    assert _post(upstream).status == 503
    assert upstream.runs() == []
    upstream.faults = UpstreamFaults(fails_fast=True, fails_status=500)
    assert _post(upstream).status == 500
    assert len(upstream.runs()) == 1


def test_idle_connection_is_closed_without_notice(upstream):
    with socket.create_connection(parse_address(upstream.address), timeout=5.0) as connection:
        connection.sendall(_REQUEST)
        assert b"200" in connection.recv(65_536)
        upstream.faults = UpstreamFaults(closes_idle=True)
        assert connection.recv(1) == b""


def test_chunked_body_is_read_whole(upstream):
    response = urllib3.PoolManager(retries=False).request(
        "POST", f"http://{upstream.address}/", body=iter([b"ab", b"c"]), chunked=True, timeout=5.0
    )
    assert json.loads(response.data)["length"] == 3


def test_connections_are_accepted_again_after_the_refusal(upstream):
    upstream.faults = UpstreamFaults(refuses_for_s=0.2)
    is_refused = False
    while not is_refused:
        try:
            _post(upstream)
        except HTTPError:
            is_refused = True
    retries = urllib3.Retry(20, backoff_factor=0.05)
    pool = urllib3.PoolManager(retries=retries)
    assert pool.request("GET", f"http://{upstream.address}/control/state").status == 200


def test_journal_with_an_incomplete_last_line_is_read(tmp_path):
    path = tmp_path / "u1.journal"
    Journal(path).add(ProcessEnded(1.0))
    record_process_end(path)
    with path.open("ab") as file:
        file.write(b'{"type":"Proc')
    assert len(read_journal(path)) == 2
