"""almondctl commands over HTTP against a stand-in log service and a fake entry."""

import json
import threading
from collections.abc import Iterator

import msgspec
import pytest

from almondstack.core import LogServiceSettings, decode_json, encode_json, hash_secret
from almondstack.ctl import ExitCode
from almondstack.ctl.main import main
from almondstack.fold import Fold
from almondstack.log import FLEET, HttpLogClient
from almondstack.model import (
    Configured,
    EntryJoined,
    EntryStatus,
    Pool,
    ReleaseNote,
    RevocationReply,
    RevocationRequest,
    Team,
    Withdrawn,
    encode_record,
    is_right_proof,
)
from almondstack.standin.log_service import LogServiceStandin
from almondstack.standin.web import Reply, StandinApp, read_body, serve
from almondstack.testing.addresses import free_address
from almondstack.testing.builders import make_note, make_team

TOKEN = "operators-token"


class FakeEntry(StandinApp):
    """Entry that folds the log on each status request, unless ``is_stalled`` is set."""

    def __init__(self, client: HttpLogClient, incarnation: str) -> None:
        self._client = client
        self._incarnation = incarnation
        self.fold = Fold()
        self.is_stalled = False
        self.revoked: list[str] = []

    def handle(self, method, path, query, environ) -> Reply:
        if path == "/statusz":
            return self._status()
        request = decode_json(read_body(environ), RevocationRequest)
        if not is_right_proof(TOKEN, request.key_id, request.proof):
            return Reply(400)
        self.revoked.append(request.key_id)
        return Reply(200, encode_json(RevocationReply(request.key_id, self._incarnation)))

    def _status(self) -> Reply:
        if not self.is_stalled:
            for entry in self._client.read(FLEET, self.fold.next_offset):
                self.fold.apply(entry.offset, entry.data)
        status = EntryStatus(self.fold.next_offset, 0, self._incarnation, "a")
        return Reply(200, encode_json(status))


class SwappableApp:
    """WSGI application that forwards to ``app``, so that each test can replace it."""

    def __init__(self) -> None:
        self.app = None
        self.address = free_address()

    def __call__(self, environ, start_response):
        return self.app(environ, start_response)


@pytest.fixture(scope="module")
def servers() -> Iterator[tuple[SwappableApp, SwappableApp]]:
    pair = (SwappableApp(), SwappableApp())
    running = [serve(item, item.address, threads=8) for item in pair]
    threads = [threading.Thread(target=item.serve, daemon=True) for item in running]
    for thread in threads:
        thread.start()
    yield pair
    for item in running:
        item.stop()
    for thread in threads:
        thread.join(5)


class CtlHarness:
    """Runs almondctl against one log service and one entry."""

    def __init__(self, capsys, tmp_path, log_address: str, entry_address: str) -> None:
        self._capsys = capsys
        self._path = tmp_path
        self.log_address = log_address
        self.entry_address = entry_address
        self.client = HttpLogClient(LogServiceSettings(address=self.log_address), "test")
        self.entry = FakeEntry(self.client, "e1~1")
        settings = {
            "log": {"address": self.log_address},
            "entries": {"a": [self.entry_address]},
            "operator_token_file": str(tmp_path / "token"),
            "apply_timeout_s": 5,
        }
        (tmp_path / "token").write_text(TOKEN)
        (tmp_path / "ctl.json").write_text(json.dumps(settings))

    def join(self) -> None:
        body = EntryJoined("e1~1", "e1", "a", "r", self.entry_address, self.entry_address)
        self.client.append(FLEET, [encode_record("e1~1", 1, body)])

    def write(self, name: str, document) -> str:
        (self._path / name).write_bytes(encode_json(document))
        return str(self._path / name)

    def run(self, *argv: str) -> tuple[int, dict]:
        settings = str(self._path / "ctl.json")
        code = main(["--settings", settings, "--output", "json", *argv])
        printed = self._capsys.readouterr().out
        return code, json.loads(printed) if printed else {}


@pytest.fixture
def harness(capsys, tmp_path, servers) -> CtlHarness:
    log, entry = servers
    created = CtlHarness(capsys, tmp_path, log.address, entry.address)
    log.app = LogServiceStandin()
    entry.app = created.entry
    created.join()
    return created


def test_apply_waits_for_every_live_entry_and_can_be_repeated(harness):
    note = harness.write("note.json", make_note())
    code, result = harness.run("apply", note)
    assert code == ExitCode.OK
    assert result["is_accepted"] and result["zones"] == [
        {"zone": "a", "confirmed": 1, "entries": 1}
    ]
    assert harness.entry.fold.state.revision == 1
    code, result = harness.run("apply", note)
    assert code == ExitCode.OK and result["revision"] == 1


def test_apply_names_the_zones_that_have_not_confirmed(harness):
    harness.entry.is_stalled = True
    code, result = harness.run("--timeout", "0.3", "apply", harness.write("n.json", make_note()))
    assert code == ExitCode.NOT_CONFIRMED
    assert result["missing_zones"] == ["a"]
    assert result["missing"][0]["incarnation"] == "e1~1"


def test_apply_on_an_outdated_revision_reports_the_other_change(harness):
    assert harness.run("apply", harness.write("n.json", make_note()))[0] == ExitCode.OK
    _, planned = harness.run("diff", harness.write("mine.json", _changed_team(ceiling=5)))
    assert planned["changes"][0]["detail"] == "ceiling: 8 -> 5"
    assert harness.run("apply", harness.write("other.json", _changed_team(ceiling=6)))[0] == 0
    revision = str(planned["revision"])
    code, result = harness.run(
        "apply", "--revision", revision, harness.write("m.json", _changed_team(5))
    )
    assert code == ExitCode.CONFLICT
    assert result["refusal"] == "revision-conflict" and result["revision"] == 2
    assert [change["detail"] for change in result["others"]] == ["ceiling: 8 -> 6"]


def test_desired_configuration_is_diffed_against_the_state_and_applied(harness):
    assert harness.run("apply", harness.write("n.json", make_note()))[0] == ExitCode.OK
    desired = {"teams": [msgspec.to_builtins(make_team(ceiling=3)), {**_team("east")}]}
    code, result = harness.run("diff", harness.write("desired.json", desired))
    assert [(item["name"], item["action"]) for item in result["changes"]] == [
        ("east", "added"),
        ("north", "changed"),
    ]
    assert harness.run("apply", harness.write("desired.json", desired))[0] == ExitCode.OK
    assert harness.run("check", harness.write("desired.json", desired))[1]["faults"] == []


def test_check_reports_every_fault_in_one_run(harness):
    note = ReleaseNote(
        added=Configured(
            pools=(Pool(name="p", min_serving=2, size=1),),
            teams=(Team(name="t", share=1, ceiling=1), Team(name="t", share=2, ceiling=1)),
        ),
        withdrawn=Withdrawn(keys=("nobody",)),
    )
    code, result = harness.run("check", harness.write("bad.json", note))
    assert code == ExitCode.FAULTS
    found = {(fault["path"], fault["code"]) for fault in result["faults"]}
    assert found == {
        ("added.pools[0].min_serving", "budget"),
        ("added.teams[1]", "duplicate"),
        ("withdrawn.keys[0]", "missing"),
    }


def test_key_secret_is_printed_once_and_neither_stored_nor_shown_again(harness):
    assert harness.run("apply", harness.write("n.json", make_note()))[0] == ExitCode.OK
    code, granted = harness.run("keys", "grant", "north", "--id", "north-9")
    assert code == ExitCode.OK
    secret = granted["key"].split(".")[1]
    records = [entry.data for entry in harness.client.read(FLEET, 0)]
    assert not any(secret.encode() in data for data in records)
    for argv in (("keys", "list"), ("explain", "key", "north-9"), ("status",)):
        code, shown = harness.run(*argv)
        assert code == ExitCode.OK
        text = json.dumps(shown)
        assert secret not in text
        assert hash_secret(secret) not in text


def test_revocation_is_logged_and_sent_directly_to_the_entry(harness):
    assert harness.run("apply", harness.write("n.json", make_note()))[0] == ExitCode.OK
    code, result = harness.run("keys", "revoke", "k1")
    assert code == ExitCode.OK and result["is_logged"] and result["was_known"]
    assert harness.entry.revoked == ["k1"]
    assert not harness.run("keys", "revoke", "k-typo")[1]["was_known"]
    note = ReleaseNote(added=Configured(keys=make_note().added.keys))
    code, result = harness.run("apply", harness.write("again.json", note))
    assert code == ExitCode.FAULTS and result["faults"][0]["code"] == "revoked"


def test_revocation_reaches_entries_while_the_log_is_unavailable(capsys, tmp_path, servers):
    entry = servers[1]
    harness = CtlHarness(capsys, tmp_path, free_address(), entry.address)
    entry.app = harness.entry
    code, result = harness.run("--timeout", "0.3", "keys", "revoke", "k1")
    assert code == ExitCode.UNAVAILABLE
    assert harness.entry.revoked == ["k1"] and not result["is_logged"]


def test_explain_shows_records_and_refusals(harness):
    assert harness.run("apply", harness.write("n.json", make_note()))[0] == ExitCode.OK
    harness.run("apply", "--revision", "7", harness.write("o.json", _changed_team(ceiling=2)))
    code, result = harness.run("explain", "team", "north")
    assert code == ExitCode.OK
    assert [row["verdict"] for row in result["records"]] == ["accepted", "revision-conflict"]
    assert harness.run("explain", "team", "nobody")[0] == ExitCode.NOT_FOUND
    gone = ReleaseNote(withdrawn=Withdrawn(instances=("u3",)))
    assert harness.run("apply", harness.write("gone.json", gone))[0] == ExitCode.OK
    code, result = harness.run("explain", "pool", "score")
    assert [(row["instance"], row["is_withdrawn"]) for row in result["under_way"]] == [("u3", True)]


def test_usage_errors_and_refused_records_have_different_exit_codes(harness, tmp_path):
    assert harness.run("check", str(tmp_path / "none.json"))[0] == ExitCode.USAGE
    assert harness.run("keys", "grant", "north", "--id", "NOT A NAME")[0] == ExitCode.USAGE
    assert harness.run("keys", "grant", "nobody")[0] == ExitCode.CONFLICT
    assert main(["status"]) == ExitCode.USAGE


def test_watch_stops_after_the_given_count(harness):
    is_over = threading.Event()
    joining = threading.Thread(target=_join_until, args=(harness, is_over))
    joining.start()
    code, line = harness.run("watch", "--count", "1", "--seconds", "30")
    is_over.set()
    joining.join()
    assert code == ExitCode.OK and line["verdict"] == "repeated"


def _join_until(harness, is_over):
    """Join again and again, so that a command that starts slowly sees a record as well."""
    while not is_over.wait(0.2):
        harness.join()


def _team(name: str) -> dict:
    return msgspec.to_builtins(make_team(name))


def _changed_team(ceiling: int) -> ReleaseNote:
    return ReleaseNote(changed=Configured(teams=(make_team(ceiling=ceiling),)))
