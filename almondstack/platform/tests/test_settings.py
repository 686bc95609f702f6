"""Tests of reading and reloading the platform's settings file."""

import os
import resource
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


def test_fields_are_decoded_and_unknown_ones_ignored(tmp_path):
    settings = _load(tmp_path, settings_text())
    assert settings.node == "edge-1" and settings.listen.front == "127.0.0.1:2"
    assert settings.metrics_address == ("127.0.0.1", 7000)
    assert control_settings(settings).lease_s <= 6.0


def test_a_lease_is_not_longer_than_the_platforms_limit(tmp_path):
    settings = _load(tmp_path, settings_text(bounds="{max-hold-ms: 1000}"))
    assert control_settings(settings).lease_s == 1.0
    assert control_settings(settings).max_hold_s == 1.0


@pytest.mark.parametrize(("mbps", "max_kb"), [(1000, 1024), (20, 375), (5, 93), (0.1, 32)])
def test_the_size_limit_of_reads_fits_the_speed_of_the_link(tmp_path, mbps, max_kb):
    """Bursts of 1 MB answers over a 5 Mbit/s link delayed a configuration (teawa-gangs-grown)."""
    settings = _load(tmp_path, settings_text(limits=f"{{link-mbps: {mbps}}}"))
    assert settings.limits.max_read_kb == max_kb


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
def test_an_error_message_names_the_faulty_field(tmp_path, lines, fault):
    with pytest.raises(SettingsError, match=fault):
        _load(tmp_path, settings_text(**lines))


def test_check_reports_whether_a_file_is_valid(tmp_path, capsys):
    path = tmp_path / "settings.yaml"
    path.write_text(settings_text())
    assert main(["--settings", str(path), "--check"]) == 0
    path.write_text("zone: 1\n")
    assert main(["--settings", str(path), "--check"]) == 2
    assert "settings.yaml" in capsys.readouterr().err


def test_a_change_without_a_signal_is_detected_once(tmp_path):
    path = tmp_path / "settings.yaml"
    path.write_text(settings_text())
    file = SettingsFile(path)
    assert not file.refresh()
    path.write_text(settings_text(platform='{address: "127.0.0.1:77"}'))
    assert file.refresh() and file.settings.store.address == "127.0.0.1:77"
    assert not file.refresh()


_INVALID = [
    "zone: [",
    "zone: 1",
    settings_text(platform="{address: x}"),
    "",
    settings_text(note="2026-02-30"),
    settings_text(note="!!timestamp soon"),
    settings_text(note="!!bool maybe"),
    settings_text(note='!!int ""'),
    settings_text(note="[" * 3_000 + "]" * 3_000),
]


@pytest.mark.parametrize("text", _INVALID)
def test_an_invalid_change_leaves_the_old_settings_in_force_and_raises_once(tmp_path, text):
    """A value that the YAML library can't convert ended the process (second review)."""
    path = tmp_path / "settings.yaml"
    path.write_text(settings_text())
    file = SettingsFile(path)
    path.write_text(text)
    with pytest.raises(SettingsError, match="settings.yaml"):
        file.refresh()
    assert file.settings.node == "edge-1" and not file.refresh()


def test_a_missing_file_leaves_the_old_settings_in_force(tmp_path):
    path = tmp_path / "settings.yaml"
    path.write_text(settings_text())
    file = SettingsFile(path)
    path.unlink()
    with pytest.raises(SettingsError):
        file.refresh()
    assert not file.refresh() and file.settings.zone == "a"
    path.write_text(settings_text(zone="b"))
    assert file.refresh() and file.settings.zone == "b"


def test_a_reload_signal_during_start_up_does_not_end_the_program(tmp_path):
    """A process that had just been started received SIGHUP and ended (soak, seed 7)."""
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
                # Most modules have not been imported yet.
                process.send_signal(signal.SIGHUP)
                break
        lines.read()
    assert process.wait(30) == 0


def test_limits_on_clients_follow_the_memory_of_the_machine(tmp_path):
    path = tmp_path / "settings.yaml"
    path.write_text(settings_text(limits="{memory-mb: 400}"))
    limits = load_platform_settings(path).http_limits
    assert limits.max_held_bytes == 50_000_000 and limits.head_timeout_s == 6.0


def test_limits_on_clients_can_be_set(tmp_path):
    path = tmp_path / "settings.yaml"
    path.write_text(settings_text(**{"http-limits": "{max-held-kb: 9, header-timeout-ms: 500}"}))
    limits = load_platform_settings(path).http_limits
    assert (limits.max_held_bytes, limits.head_timeout_s) == (9_000, 0.5)


@pytest.mark.parametrize(
    ("limit", "expected"),
    [(64, 16), (256, 48), (1_024, 192), (4_100, 900), (resource.RLIM_INFINITY, 900)],
)
def test_connections_of_all_addresses_leave_descriptors_to_the_program(
    tmp_path, monkeypatch, limit, expected
):
    monkeypatch.setattr(resource, "getrlimit", lambda _: (limit, limit))
    path = tmp_path / "settings.yaml"
    path.write_text(settings_text())
    assert load_platform_settings(path).http_limits.max_connections == expected
