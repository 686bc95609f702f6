"""Tests of unexpected errors in the program's threads."""

import threading
import time
from unittest import mock

import pytest

from almondstack.platform.program import Program
from almondstack.platform.settings import SettingsFile
from almondstack.testing.addresses import free_address, loopback_host


@pytest.fixture
def program(tmp_path):
    """Return a program that has not been started."""
    lines = [
        "node-name: edge-0",
        "zone: a",
        f"ip: {loopback_host()}",
        f'listen: {{front: "{free_address()}", ready: "{free_address()}"}}',
        "port-range: [7000, 7015]",
        f'platform: {{address: "{free_address()}"}}',
        f'cloud-api: {{address: "{free_address()}"}}',
    ]
    path = tmp_path / "settings.yaml"
    path.write_text("\n".join(lines) + "\n")
    return Program(SettingsFile(str(path)))


def test_a_process_can_own_the_jobs_again_after_its_owner_failed_to_start(program, monkeypatch):
    """The process kept treating itself as the owner and never claimed the ownership again."""

    def fail(*_):
        raise RuntimeError("can't start new thread")

    monkeypatch.setattr("almondstack.platform.program.Owner", fail)
    program._follower._is_owner = True
    with pytest.raises(RuntimeError):
        program._run_ownership(1, 1)
    assert not program._follower._is_owner


class _FailedOwner:
    """An owner whose control loop has ended with an error."""

    is_alive = False
    has_failed = True

    def __init__(self, *_):
        pass

    def start(self):
        """Do nothing: the loop has ended."""

    def release(self):
        """Do nothing: the loop has ended."""


def test_a_process_whose_owner_has_failed_exits_with_an_error(program, monkeypatch):
    """Guards against an owner that fails again and again in a process that looks well."""
    monkeypatch.setattr("almondstack.platform.program.Owner", _FailedOwner)
    # The threads that its pool starts for an owner are no daemons, and would outlive the tests.
    monkeypatch.setattr(program, "_relay_server", mock.MagicMock())
    program._run_ownership(1, 1)
    assert program._shutting_down.is_set() and program._exit_code == 1


def test_a_process_whose_ownership_can_not_begin_exits_with_an_error(program, monkeypatch):
    reported = []
    monkeypatch.setattr(threading, "excepthook", reported.append)
    monkeypatch.setattr("almondstack.platform.program.Owner", lambda *_: [].pop())
    program._start_ownership(1, 1)
    assert program._shutting_down.wait(5.0)
    assert program._exit_code == 1 and len(reported) == 1


def test_a_process_that_accepts_no_more_connections_exits_with_an_error(program, monkeypatch):
    """Guards against a process that looks ready and answers nobody."""
    monkeypatch.setattr(threading, "excepthook", lambda _: None)
    monkeypatch.setattr("almondstack.platform.program.signal", mock.MagicMock())
    monkeypatch.setattr(program, "_shut_down", lambda: None)
    monkeypatch.setattr(program, "_follower", mock.MagicMock())
    monkeypatch.setattr(program, "_directory", mock.MagicMock())
    monkeypatch.setattr(program, "_configuration_follower", mock.MagicMock())
    monkeypatch.setattr(program, "_relay_server", mock.MagicMock(serve=[].pop))
    for name in ("_job_api_server", "_readiness_server", "_metrics_server"):
        monkeypatch.setattr(program, name, mock.MagicMock())
    assert program.run() == 1


class _BusyServer:
    """A server in which a request was read when accepting ends; notes what is asked of it."""

    def __init__(self):
        self.seen = []
        self._queued = [0, 2, 1]

    def stop_accepting(self):
        """Note it."""
        self.seen.append("stop")

    @property
    def active(self):
        """Number of requests, one less each time."""
        found = self._queued.pop() if self._queued else 0
        self.seen.append(found)
        return found


def test_requests_that_were_read_before_accepting_ended_are_waited_for(program, monkeypatch):
    servers = _BusyServer(), _BusyServer()
    monkeypatch.setattr(program, "_job_api_server", servers[0])
    monkeypatch.setattr(program, "_relay_server", servers[1])
    program._finish_requests(time.monotonic(), 60.0)
    assert all(server.seen[0] == "stop" and server.seen[1:4] == [1, 2, 0] for server in servers)
