"""The platform's settings file."""

import os
import signal
import subprocess
import sys

import pytest

from almondstack.core import SettingsError
from almondstack.platform.program import main
from almondstack.platform.settings import SettingsFile, control_settings, load_platform_settings
from almondstack.platform.tests.builders import settings_text


def _load(tmp_path, text):
    path = tmp_path / "settings.yaml"
    path.write_text(text)
    return load_platform_settings(path)


def test_fields_are_decoded_and_unknown_ones_passed_over(tmp_path):
    settings = _load(tmp_path, settings_text())
    assert settings.node == "edge-1" and settings.listen.front == "127.0.0.1:2"
    assert settings.metrics_address == ("127.0.0.1", 7000)
    assert control_settings(settings).lease_s <= 6.0


def test_a_lease_is_never_longer_than_the_bound(tmp_path):
    settings = _load(tmp_path, settings_text(bounds="{max-hold-ms: 1000}"))
    assert control_settings(settings).lease_s == 1.0


@pytest.mark.parametrize(("mbps", "most_kb"), [(1000, 1024), (20, 375), (5, 93), (0.1, 32)])
def test_an_answer_of_the_store_does_not_take_up_a_slow_link_for_long(tmp_path, mbps, most_kb):
    """Bursts of answers of 1 MB over 5 Mbit/s held a configuration up (teawa-gangs-grown)."""
    settings = _load(tmp_path, settings_text(limits=f"{{link-mbps: {mbps}}}"))
    assert settings.limits.most_read_kb == most_kb


@pytest.mark.parametrize(
    ("lines", "fault"),
    [
        ({"zone": "[1]"}, "zone"),
        ({"listen": '{front: "x", ready: "127.0.0.1:3"}'}, "x"),
        ({"platform": "{}"}, "address"),
        ({"port-range": "[1]"}, "port-range"),
        ({"bounds": "{grace-s: later}"}, "grace-s"),
        ({"zone": "{"}, "settings.yaml"),
    ],
)
def test_faults_are_named(tmp_path, lines, fault):
    with pytest.raises(SettingsError, match=fault):
        _load(tmp_path, settings_text(**lines))


def test_check_says_whether_a_file_is_sound(tmp_path, capsys):
    path = tmp_path / "settings.yaml"
    path.write_text(settings_text())
    assert main(["--settings", str(path), "--check"]) == 0
    path.write_text("zone: 1\n")
    assert main(["--settings", str(path), "--check"]) == 2
    assert "settings.yaml" in capsys.readouterr().err


def test_a_change_without_a_signal_is_noticed_once(tmp_path):
    path = tmp_path / "settings.yaml"
    path.write_text(settings_text())
    file = SettingsFile(path)
    assert not file.refresh()
    path.write_text(settings_text(platform='{address: "127.0.0.1:77"}'))
    assert file.refresh() and file.settings.store.address == "127.0.0.1:77"
    assert not file.refresh()


@pytest.mark.parametrize("text", ["zone: [", "zone: 1", settings_text(platform="{address: x}"), ""])
def test_a_faulty_new_file_leaves_the_old_one_in_force_and_is_told_once(tmp_path, text):
    path = tmp_path / "settings.yaml"
    path.write_text(settings_text())
    file = SettingsFile(path)
    path.write_text(text)
    with pytest.raises(SettingsError, match="settings.yaml"):
        file.refresh()
    assert file.settings.node == "edge-1" and not file.refresh()


def test_a_file_that_is_gone_leaves_the_old_one_in_force(tmp_path):
    path = tmp_path / "settings.yaml"
    path.write_text(settings_text())
    file = SettingsFile(path)
    path.unlink()
    with pytest.raises(SettingsError):
        file.refresh()
    assert not file.refresh() and file.settings.zone == "a"
    path.write_text(settings_text(zone="b"))
    assert file.refresh() and file.settings.zone == "b"


def test_a_reload_that_comes_while_the_program_loads_does_not_end_it(tmp_path):
    """A process that had just been started was told to reload, and ended (soak, seed 7)."""
    path = tmp_path / "settings.yaml"
    path.write_text(settings_text())
    ready, ready_end = os.pipe()
    command = [sys.executable, "-X", "importtime", "-m", "almondstack.platform"]
    process = subprocess.Popen(
        [*command, "--settings", str(path), "--check"], stderr=ready_end, pass_fds=(ready_end,)
    )
    os.close(ready_end)
    with os.fdopen(ready, errors="replace") as lines:
        for line in lines:
            if "urllib3" in line:
                # Most of the program is still to be loaded.
                process.send_signal(signal.SIGHUP)
                break
        lines.read()
    assert process.wait(30) == 0
