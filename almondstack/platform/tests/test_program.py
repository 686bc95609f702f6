"""Tests of unexpected errors in the program's threads."""

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
