"""Tests that names of the platform's wire format are used only in the adapter."""

import re
from pathlib import Path

import almondstack

_ROOT = Path(almondstack.__file__).parent
_WIRE_NAMES = (
    "log-append",
    "log-newest",
    "log-read",
    "run-start",
    "run-stop",
    "machine-move",
    "machine-upkeep",
    "last-seen",
    "fencing-token",
    "api-keys",
    "cloud-api",
    "anti-affinity",
    "mem-mb",
    "X-Request-Deadline",
    "end-offset",
    "X-Lease-Holder",
    "X-Expect-Instance",
    "keyed.servers",
    "keyed.op",
    "keyed.status",
    "/almondstack/hold",
    "/almondstack/advise",
)
_ALLOWED = ("platform", "standin")


def _sources():
    for path in _ROOT.rglob("*.py"):
        parts = path.relative_to(_ROOT).parts
        if parts[0] not in _ALLOWED and "tests" not in parts:
            yield path


def test_no_wire_name_is_used_outside_the_adapter():
    pattern = re.compile("|".join(map(re.escape, _WIRE_NAMES)))
    found = {
        (path.name, match.group())
        for path in _sources()
        for match in pattern.finditer(path.read_text())
    }
    assert not found


def test_all_listed_wire_names_are_used_by_the_adapter():
    source = "".join(path.read_text() for path in (_ROOT / "platform").glob("*.py"))
    assert not [name for name in _WIRE_NAMES if name not in source]


def test_no_other_package_imports_the_adapter():
    importing = {path.name for path in _sources() if "almondstack.platform" in path.read_text()}
    assert not importing
