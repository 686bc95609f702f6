"""Settings: each error is one line that names the path of the field."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from almondstack.core import Settings, SettingsError, decode_settings, load_settings
from almondstack.entry.main import main as entry_main
from almondstack.entry.settings import EntrySettings
from almondstack.keeper.main import main as keeper_main

VALID = {
    "node": {"deployment": "d", "name": "e1", "zone": "a"},
    "callers": {"listen": "127.0.0.1:7101"},
    "log": {"address": "127.0.0.1:7001"},
}


def changed(path: str, value: object) -> bytes:
    """Return the valid settings with one field replaced."""
    document = json.loads(json.dumps(VALID))
    *sections, field = path.split(".")
    target = document
    for section in sections:
        target = target[section]
    target[field] = value
    return json.dumps(document).encode()


@pytest.mark.parametrize(
    ("path", "value", "shown"),
    [
        ("callers.listen", "localhost:80", "$.callers.listen"),
        ("callers.listen", "127.0.0.1:0", "$.callers.listen"),
        ("callers.listen", "127.0.0.300:80", "$.callers.listen"),
        ("callers.listen", "127.0.0.1:99999", "$.callers.listen"),
        ("callers.threads", "64", "$.callers.threads"),
        ("callers.threads", 0, "$.callers.threads"),
        ("callers.body_timeout_ms", 5, "body_timeout_ms"),
        ("node.zone", "A zone", "$.node.zone"),
        ("log.timeout_s", -1, "$.log.timeout_s"),
        ("unknown", 1, "unknown"),
    ],
)
def test_error_names_the_path_of_the_field(path, value, shown):
    with pytest.raises(SettingsError) as caught:
        decode_settings(changed(path, value), EntrySettings, "entry.json")
    text = str(caught.value)
    assert shown in text
    assert "entry.json" in text
    assert "\n" not in text


def test_valid_settings_have_defaults():
    settings = decode_settings(json.dumps(VALID).encode(), EntrySettings)
    assert settings.callers.threads >= 4
    assert settings.node.region == "region-1"


@given(st.binary(max_size=200))
def test_any_bytes_are_settings_or_a_typed_error(data):
    try:
        decode_settings(data, EntrySettings)
    except SettingsError as error:
        assert error.code == "settings"


class NoFields(Settings, frozen=True):
    """Settings without fields."""


def test_missing_file_is_a_typed_error(tmp_path):
    with pytest.raises(SettingsError):
        load_settings(tmp_path / "nothing.json", NoFields)


@pytest.mark.parametrize("program", [entry_main, keeper_main])
def test_daemon_exits_with_2_and_one_line(program, tmp_path, capsys):
    path = tmp_path / "settings.json"
    path.write_bytes(changed("log.address", "log.example:7001"))
    assert program(["--settings", str(path), "--check"]) == 2
    printed = capsys.readouterr()
    assert printed.out == ""
    assert printed.err.count("\n") == 1


def test_check_accepts_the_settings_of_the_tutorial(capsys):
    assert entry_main(["--settings", "examples/tutorial/entry.json", "--check"]) == 0
    assert "settings are valid" in capsys.readouterr().out
