"""The platform's settings file."""

import pytest

from almondstack.core import SettingsError
from almondstack.platform.program import main
from almondstack.platform.settings import control_settings, load_platform_settings
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
