"""Records and messages are read as earlier builds wrote them, and change form only knowingly."""

import json
from pathlib import Path

import msgspec
import pytest

from almondstack.intake import Verdict
from almondstack.jobs import JobState, TaskKey, TaskRecord, TaskStatus
from almondstack.jobs.progress import decode_progress, decode_state
from almondstack.testing.shared_forms import SAMPLES

_FOLDER = Path(__file__).parent
_WRITTEN = json.loads((_FOLDER / "shared_forms.json").read_text())
"""Bytes of each sample in hexadecimal, by the commit whose build wrote them; the newest last."""

_PAGE = _FOLDER.parents[2] / "docs" / "design" / "upgrades.md"
_FORMS = [(commit, name) for commit, samples in _WRITTEN.items() for name in samples]


@pytest.mark.parametrize(("commit", "name"), _FORMS)
def test_what_an_earlier_build_wrote_is_read(commit, name):
    """Guards against a build that can't go on from the records of the one before it."""
    sample = SAMPLES[name]
    assert sample.decode(bytes.fromhex(_WRITTEN[commit][name])) == sample.value


@pytest.mark.parametrize("name", sorted(SAMPLES))
def test_a_form_changes_only_with_an_entry_on_the_page_of_upgrades(name):
    """Guards against a form that the build before can't read.

    If this fails, the form has changed: say in upgrades.md by which rule, and add the new
    bytes under the commit that writes them.
    """
    newest = next(samples[name] for samples in reversed(list(_WRITTEN.values())) if name in samples)
    assert SAMPLES[name].encode(SAMPLES[name].value).hex() == newest


def test_each_form_and_each_recorded_build_stands_on_the_page_of_upgrades():
    page = _PAGE.read_text()
    missing = [word for word in [*SAMPLES, *_WRITTEN] if word.split(",")[0] not in page]
    assert missing == []


def test_progress_before_the_compact_form_is_read():
    """Guards against losing the reader of records that encode each task in full."""
    tasks = [TaskRecord(TaskKey(0, 0, 1), TaskStatus.ASSIGNED, 2, 1, "i-1", 17, "0002")]
    value = bytes((JobState.RUNNING,)) + msgspec.msgpack.encode(tasks)
    assert (decode_state(value), decode_progress(value)) == (JobState.RUNNING, tasks)


class _EarlierNotice(msgspec.Struct, frozen=True, array_like=True):
    """The notice as builds before the one of admission under contention read it."""

    owner: str
    token: int
    address: str = ""
    waits_ms: dict[str, int] = {}
    cores: float = 0.0
    requests_address: str = ""
    standby: str = ""
    configuration: int = 0


class _EarlierReceipt(msgspec.Struct, frozen=True, array_like=True):
    """The receipt as those builds read it."""

    verdict: Verdict
    late_ms: float = 0.0


@pytest.mark.parametrize(
    ("name", "form"),
    [("notice, admission", _EarlierNotice), ("receipt reply, return", _EarlierReceipt)],
)
def test_builds_before_return_times_read_what_they_know(name, form):
    sample = SAMPLES[name]
    encoded = sample.encode(sample.value).removeprefix(b"\x02")
    found = msgspec.msgpack.decode(encoded, type=form)
    known = {field: getattr(sample.value, field) for field in form.__struct_fields__}
    assert msgspec.structs.asdict(found) == known


@pytest.mark.parametrize("name", ["submission", "notice", "submission call", "receipt reply"])
def test_a_field_that_a_later_build_adds_is_skipped(name):
    """Guards against a later build whose records this one takes for unreadable."""
    sample = SAMPLES[name]
    encoded = sample.encode(sample.value)
    prefix = encoded[:1] if name == "notice" else b""
    fields = msgspec.msgpack.decode(encoded.removeprefix(prefix) if prefix else encoded)
    longer = prefix + msgspec.msgpack.encode([*fields, "later"])
    assert sample.decode(longer) == sample.value
