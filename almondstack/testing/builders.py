"""Builders of configuration objects, notes and folds for tests."""

from typing import Any

from almondstack.core import hash_secret
from almondstack.fold import Fold
from almondstack.model import (
    Configured,
    InstanceSpec,
    Key,
    Pool,
    Queue,
    ReleaseApplied,
    ReleaseNote,
    Team,
    encode_record,
)

__all__ = ["make_fold", "make_instance", "make_key", "make_note", "make_pool", "make_team"]


def make_pool(name: str = "score", **fields: Any) -> Pool:
    """Return a pool of size 3 with a minimum of two serving instances."""
    return Pool(**{"name": name, "min_serving": 2, "size": 3, **fields})


def make_instance(name: str = "u1", **fields: Any) -> InstanceSpec:
    """Return an instance of pool ``score`` with an address derived from its name."""
    number = int("".join(filter(str.isdigit, name)) or "0")
    defaults = {
        "name": name,
        "pool": "score",
        "zone": "a",
        "rack": "a1",
        "address": f"127.0.{number // 200 + 1}.{number % 200 + 1}:8000",
    }
    return InstanceSpec(**{**defaults, **fields})


def make_team(name: str = "north", **fields: Any) -> Team:
    """Return a team with share 1 and ceiling 8."""
    return Team(**{"name": name, "share": 1, "ceiling": 8, **fields})


def make_key(key_id: str = "k1", secret: str = "secret", team: str = "north") -> Key:
    """Return the stored form of the key ``key_id.secret``."""
    return Key(id=key_id, team=team, digest=hash_secret(secret))


def make_note(**fields: Any) -> ReleaseNote:
    """Return a note that adds a pool of three instances, a team, a key and a queue."""
    defaults: dict[str, Any] = {
        "pools": (make_pool(),),
        "instances": tuple(make_instance(f"u{i}") for i in (1, 2, 3)),
        "teams": (make_team(),),
        "keys": (make_key(),),
        "queues": (Queue(name="invoices", pool="score"),),
    }
    return ReleaseNote(added=Configured(**{**defaults, **fields}))


def make_fold(note: ReleaseNote | None = None) -> Fold:
    """Return a fold whose first record applied ``note``."""
    fold = Fold()
    body = ReleaseApplied(0, note if note is not None else make_note())
    verdict = fold.apply(0, encode_record("operator", 1, body))
    assert verdict is not None and verdict.is_accepted, verdict
    return fold
