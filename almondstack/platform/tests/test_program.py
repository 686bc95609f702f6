"""The program's own threads, when something unforeseen happens in them."""

import pytest

from almondstack.platform.program import Program
from almondstack.platform.settings import SettingsFile
from almondstack.testing.addresses import free_address, loopback_host


@pytest.fixture
def program(tmp_path):
    """Give a program that has not been started."""
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


def test_an_owner_that_cannot_begin_leaves_its_process_able_to_own_the_jobs_again(
    program, monkeypatch
):
    """The process held itself for the owner for good, and claimed nothing any more."""

    def fail(*_):
        raise RuntimeError("can't start new thread")

    monkeypatch.setattr("almondstack.platform.program.Owner", fail)
    program._follower._is_owner = True
    with pytest.raises(RuntimeError):
        program._own(1, 1)
    assert not program._follower._is_owner
