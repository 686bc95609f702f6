"""State that every process derives from the log.

Explanation
-----------
The tables are dictionaries of frozen values.  Only :mod:`almondstack.fold`
writes them, and it replaces values rather than changing them, so a value that
was read stays consistent.  A table is replaced when a name is added or removed,
so a thread may iterate over a table without holding the fold's lock.
:class:`FleetState` is equal in all processes that have folded the log up to the
same offset.
"""

from enum import StrEnum

import msgspec

from almondstack.model.config import InstanceSpec, Key, Limit, Pool, Queue, Team
from almondstack.model.permit_state import PermitAccount, Settlement
from almondstack.model.waves import WaveState

__all__ = [
    "AuthorPosition",
    "EntryPhase",
    "EntryState",
    "FleetState",
    "InstancePhase",
    "InstanceState",
    "LeavingQueue",
    "LeavingTeam",
]


class InstancePhase(StrEnum):
    """Lifecycle phase of an upstream instance.

    Attributes
    ----------
    DRAINING, DRAINED
        It gets no new requests; running ones remain, or all have ended.
    RETURNING
        It gets requests again but does not count as serving yet.
    FAILED
        Its reports or its reboot show a failure.
    UNSEEN
        Neither the platform's list nor its reports show it.
    LEAVING
        The platform's list marks it as leaving.
    """

    SERVING = "serving"
    DRAINING = "draining"
    DRAINED = "drained"
    REBOOTING = "rebooting"
    RETURNING = "returning"
    FAILED = "failed"
    UNSEEN = "unseen"
    LEAVING = "leaving"


class EntryPhase(StrEnum):
    """Lifecycle phase of an entry incarnation.

    Attributes
    ----------
    LEFT
        It shut down gracefully, with no request running.
    FENCED
        It was considered failed and must not start any further request.
    """

    LIVE = "live"
    LEFT = "left"
    FENCED = "fenced"


class InstanceState(msgspec.Struct, frozen=True, kw_only=True):
    """State of an upstream instance as folded from the log.

    Parameters
    ----------
    spec : InstanceSpec
        Declared configuration; ``spec.pool`` is the pool that should own it.
    pool : str
        Pool that owns it at this offset.
    phase : InstancePhase
        Current phase.
    version : int
        Offset of the last record that changed it.
    phase_offset : int
        Offset of the record that led to this phase; identifies the acts that
        keepers execute on the platform for the phase.
    stepped_by : str
        Author of that record; the keeper that executes these acts first.
    target_pool : str or None
        Target of the move in progress.
    lent_from : str or None
        The declared pool, while the keepers have moved the instance to another pool.
    wave : str or None
        Maintenance wave for which it was drained.
    is_withdrawn : bool
        True if it is removed once it is drained.
    reason : str
        Why it is in this phase.
    stalls : int
        Number of consecutive drains that were cancelled because the instance
        did not become empty.
    maintained_offset : int
        Offset of its last completed maintenance, 0 if none.
    """

    spec: InstanceSpec
    pool: str
    phase: InstancePhase = InstancePhase.SERVING
    version: int = 0
    phase_offset: int = 0
    stepped_by: str = ""
    target_pool: str | None = None
    lent_from: str | None = None
    wave: str | None = None
    is_withdrawn: bool = False
    reason: str = ""
    stalls: int = 0
    maintained_offset: int = 0

    @property
    def name(self) -> str:
        """Name of the instance."""
        return self.spec.name

    @property
    def is_serving(self) -> bool:
        """True if it counts towards the availability budget of its pool."""
        return self.phase is InstancePhase.SERVING

    @property
    def is_lost(self) -> bool:
        """True if it is out of service unplanned."""
        lost = (InstancePhase.FAILED, InstancePhase.UNSEEN, InstancePhase.LEAVING)
        return self.phase in lost

    @property
    def is_planned_out(self) -> bool:
        """True if it is out of service by plan, such as drained or returning."""
        return not self.is_serving and not self.is_lost

    @property
    def is_misplaced(self) -> bool:
        """True if it is declared for a pool that neither owns it nor has lent it."""
        return self.spec.pool not in (self.pool, self.lent_from)

    @property
    def is_taking_work(self) -> bool:
        """True if new requests may be sent to it."""
        return self.phase in (InstancePhase.SERVING, InstancePhase.RETURNING)


class EntryState(msgspec.Struct, frozen=True, kw_only=True):
    """State of an entry incarnation as folded from the log.

    Parameters
    ----------
    incarnation : str
        Unique name of one run of the entry's process.
    name, zone, region : str
        Name of the entry instance, and where it runs.
    address, peer_address : str
        Addresses for callers and for peers.
    level : int
        Highest format level that it supports.
    phase : EntryPhase
        Current phase.
    version : int
        Offset of the last record that changed it.
    evidence : str
        Why it is no longer live.
    """

    incarnation: str
    name: str
    zone: str
    region: str
    address: str
    peer_address: str
    level: int
    phase: EntryPhase = EntryPhase.LIVE
    version: int = 0
    evidence: str = ""

    @property
    def is_live(self) -> bool:
        """True if it may serve."""
        return self.phase is EntryPhase.LIVE


class AuthorPosition(msgspec.Struct, frozen=True, array_like=True):
    """Sequence number and offset of the last folded record of an author."""

    sequence: int
    offset: int


class LeavingTeam(msgspec.Struct, frozen=True):
    """A withdrawn team whose admitted work may still run, with the offset of its withdrawal."""

    offset: int
    team: Team


class LeavingQueue(msgspec.Struct, frozen=True):
    """A withdrawn queue whose admitted work may still run, with the offset of its withdrawal."""

    offset: int
    queue: Queue


class FleetState(msgspec.Struct, kw_only=True):
    """Complete state that is folded from the log.

    Parameters
    ----------
    revision : int
        Number of configuration changes accepted so far.
    level : int
        Format level in force.
    revoked : dict of str to int
        Ids of revoked keys, with the offset of the revocation; never pruned.
    leaving_pools : dict of str to int
        Withdrawn pools that still own instances, with the offset of the
        withdrawal; they stay in ``pools``, with a budget of 0, until they own none.
    leaving_teams, leaving_queues : dict
        Withdrawn teams and queues; no new request is admitted for them, and
        requests already admitted finish under the values kept here.
    authors : dict of str to AuthorPosition
        Last folded record of each author.  An author whose last record is more than
        ``REPEAT_WINDOW_RECORDS`` back is pruned, unless it is in ``entries``.
    permits : dict of str to PermitAccount
        By resource, the permits that the incarnations have drawn.
    settlements : dict of str to Settlement
        By incarnation that is no longer live, the open settlement of its permits.
    """

    revision: int = 0
    level: int = 1
    pools: dict[str, Pool] = msgspec.field(default_factory=dict)
    instances: dict[str, InstanceState] = msgspec.field(default_factory=dict)
    teams: dict[str, Team] = msgspec.field(default_factory=dict)
    keys: dict[str, Key] = msgspec.field(default_factory=dict)
    queues: dict[str, Queue] = msgspec.field(default_factory=dict)
    limits: dict[str, Limit] = msgspec.field(default_factory=dict)
    revoked: dict[str, int] = msgspec.field(default_factory=dict)
    entries: dict[str, EntryState] = msgspec.field(default_factory=dict)
    waves: dict[str, WaveState] = msgspec.field(default_factory=dict)
    leaving_pools: dict[str, int] = msgspec.field(default_factory=dict)
    leaving_teams: dict[str, LeavingTeam] = msgspec.field(default_factory=dict)
    leaving_queues: dict[str, LeavingQueue] = msgspec.field(default_factory=dict)
    authors: dict[str, AuthorPosition] = msgspec.field(default_factory=dict)
    permits: dict[str, PermitAccount] = msgspec.field(default_factory=dict)
    settlements: dict[str, Settlement] = msgspec.field(default_factory=dict)

    def last_sequence(self, author: str) -> int:
        """Return the last folded sequence number of ``author``; 0 for an unknown author."""
        position = self.authors.get(author)
        return position.sequence if position else 0

    def find_team(self, name: str) -> Team | None:
        """Return a team in force or one that is leaving."""
        leaving = self.leaving_teams.get(name)
        return self.teams.get(name) or (leaving.team if leaving else None)

    def find_queue(self, name: str) -> Queue | None:
        """Return a queue in force or one that is leaving."""
        leaving = self.leaving_queues.get(name)
        return self.queues.get(name) or (leaving.queue if leaving else None)

    def instances_of(self, pool: str) -> list[InstanceState]:
        """Return the instances that ``pool`` owns, by name."""
        owned = [item for item in self.instances.values() if item.pool == pool]
        return sorted(owned, key=lambda item: item.name)

    def serving_count(self, pool: str) -> int:
        """Return how many instances of ``pool`` are serving."""
        return sum(item.is_serving for item in self.instances.values() if item.pool == pool)

    def live_entries(self) -> list[EntryState]:
        """Return the entries that may serve, by incarnation."""
        live = [entry for entry in self.entries.values() if entry.is_live]
        return sorted(live, key=lambda entry: entry.incarnation)
