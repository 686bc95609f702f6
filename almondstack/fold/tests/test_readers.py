"""Threads read the state without the lock while records are folded.

A table that changed its size during an iteration would raise ``RuntimeError``.
"""

import sys
import threading
from collections.abc import Iterator

import pytest

from almondstack.fold import Fold
from almondstack.model import (
    Configured,
    EntryJoined,
    KeyGranted,
    KeyRevoked,
    PermitCount,
    PermitsDrawn,
    ReleaseApplied,
    ReleaseNote,
    bounds_of,
    encode_record,
)
from almondstack.testing.builders import make_fold, make_instance, make_key

ROUNDS = 300
ADDRESS = "127.0.0.1:1"


@pytest.fixture
def frequent_thread_switches() -> Iterator[None]:
    """Shorten the thread switch interval, so that reads and folds interleave often."""
    interval_s = sys.getswitchinterval()
    sys.setswitchinterval(1e-6)
    yield
    sys.setswitchinterval(interval_s)


def _fold_all(fold: Fold) -> None:
    for number in range(ROUNDS):
        sequence = 3 * number
        name, key_id = f"e{number}", f"key-{number}"
        instance = make_instance(f"u{number + 10}")
        bodies = (
            EntryJoined(name, name, "a", "r", ADDRESS, ADDRESS),
            KeyGranted(make_key(key_id)),
            KeyRevoked(key_id),
        )
        for index, body in enumerate(bodies):
            _apply(fold, "author", sequence + index + 1, body)
        note = ReleaseNote(added=Configured(instances=(instance,)))
        _apply(fold, "note-author", number + 1, ReleaseApplied(fold.state.revision, note))
        _apply(fold, name, 1, PermitsDrawn((PermitCount("ceiling/north", 1),)))


def _apply(fold: Fold, author: str, sequence: int, body: object) -> None:
    offset = fold.next_offset
    fold.apply(offset, encode_record(author, sequence, body, base=offset))


def _read(fold: Fold) -> None:
    state = fold.state
    state.live_entries()
    state.instances_of("score")
    state.serving_count("score")
    bounds_of(state)
    assert all(key.id for key in state.keys.values())
    assert all(offset for offset in state.revoked.values())
    assert all(mark.sequence for mark in state.authors.values())


def test_iteration_without_the_lock_does_not_fail_while_records_are_folded(
    frequent_thread_switches,
):
    fold = make_fold()
    errors: list[BaseException] = []
    done = threading.Event()

    def read_until_done() -> None:
        try:
            while not done.is_set():
                _read(fold)
        except RuntimeError as error:
            errors.append(error)

    readers = [threading.Thread(target=read_until_done) for _ in range(3)]
    for reader in readers:
        reader.start()
    _fold_all(fold)
    done.set()
    for reader in readers:
        reader.join()
    assert not errors, errors[0]
    assert fold.state.serving_count("score") == 3 + ROUNDS
