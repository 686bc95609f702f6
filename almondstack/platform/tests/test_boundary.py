"""The platform's names stay in its folder."""

import re
from pathlib import Path

import almondstack

_ROOT = Path(almondstack.__file__).parent
_WORDS = (
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


def test_no_name_of_the_wire_stands_outside_the_adapter():
    pattern = re.compile("|".join(map(re.escape, _WORDS)))
    found = {
        (path.name, match.group())
        for path in _sources()
        for match in pattern.finditer(path.read_text())
    }
    assert not found


def test_the_words_are_those_that_the_adapter_speaks():
    spoken = "".join(path.read_text() for path in (_ROOT / "platform").glob("*.py"))
    assert not [word for word in _WORDS if word not in spoken]


def test_the_core_of_the_product_does_not_import_the_adapter():
    importing = {path.name for path in _sources() if "almondstack.platform" in path.read_text()}
    assert not importing
