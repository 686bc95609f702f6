"""Reference model that predicts which records the fold accepts, and the state after them.

The model supports only the kinds of records that the state machine submits,
keeps every record and prunes nothing.
"""

import msgspec

from almondstack.model import (
    EntryFenced,
    EntryJoined,
    FleetState,
    KeyGranted,
    KeyRevoked,
    ReleaseApplied,
    decode_body,
    decode_envelope,
)

TEAM = "north"


class Projection(msgspec.Struct, frozen=True):
    """Part of the state that the model predicts."""

    revision: int
    ceiling: int
    keys: frozenset[str]
    revoked: frozenset[str]
    live: frozenset[str]

    @classmethod
    def of(cls, state: FleetState) -> "Projection":
        return cls(
            revision=state.revision,
            ceiling=state.teams[TEAM].ceiling if TEAM in state.teams else -1,
            keys=frozenset(state.keys),
            revoked=frozenset(state.revoked),
            live=frozenset(entry.incarnation for entry in state.live_entries()),
        )


class Oracle:
    """Predicts the verdict on each record of the log, and the state after it, in order."""

    def __init__(self, window: int) -> None:
        self._window = window
        self._revision = 0
        self._ceiling = -1
        self._keys: set[str] = set()
        self._revoked: set[str] = set()
        self._entries: dict[str, bool] = {}
        self._seen: set[tuple[str, int]] = set()
        self.folded: list[bool] = []
        self.accepted: list[bool] = []
        self.projections: list[Projection] = []

    def add(self, offset: int, data: bytes) -> None:
        envelope = decode_envelope(data)
        record = (envelope.author, envelope.sequence)
        is_new = record not in self._seen and offset - envelope.base <= self._window
        if is_new:
            self._seen.add(record)
        self.folded.append(is_new)
        body = decode_body(envelope)
        self.accepted.append(is_new and self._apply(body))
        self.projections.append(
            Projection(
                revision=self._revision,
                ceiling=self._ceiling,
                keys=frozenset(self._keys),
                revoked=frozenset(self._revoked),
                live=frozenset(name for name, is_live in self._entries.items() if is_live),
            )
        )

    def _apply(self, body: object) -> bool:
        if isinstance(body, ReleaseApplied):
            return self._apply_note(body)
        if isinstance(body, KeyGranted):
            return self._grant(body.key.id)
        if isinstance(body, KeyRevoked):
            self._revision += body.key_id not in self._revoked
            self._keys.discard(body.key_id)
            self._revoked.add(body.key_id)
            return True
        if isinstance(body, EntryJoined):
            is_first = body.incarnation not in self._entries
            self._entries.setdefault(body.incarnation, True)
            return is_first
        assert isinstance(body, EntryFenced)
        was_live = self._entries.get(body.incarnation, False)
        if was_live:
            self._entries[body.incarnation] = False
        return was_live

    def _grant(self, key_id: str) -> bool:
        if key_id in self._keys | self._revoked:
            return False
        self._keys.add(key_id)
        self._revision += 1
        return True

    def _apply_note(self, body: ReleaseApplied) -> bool:
        note = body.note
        added = {key.id for key in note.added.keys}
        withdrawn = set(note.withdrawn.keys)
        is_valid = not added & (self._keys | self._revoked) and withdrawn <= self._keys
        if body.base_revision != self._revision or not is_valid:
            return False
        self._revision += 1
        self._keys = (self._keys | added) - withdrawn
        self._revoked |= withdrawn
        for team in (*note.added.teams, *note.changed.teams):
            self._ceiling = team.ceiling
        return True
