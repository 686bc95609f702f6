"""Configuration that operators declare: pools, instances, teams, keys, queues and limits.

Explanation
-----------
All values are frozen; a change builds a new value.  Checks across several
values are in :mod:`almondstack.release_note`.
"""

from typing import Annotated

import msgspec
from msgspec import Meta

from almondstack.core import Address, Name

__all__ = ["InstanceSpec", "Key", "Limit", "Pool", "Queue", "Team"]

Count = Annotated[int, Meta(ge=0, le=1_000_000)]


class Pool(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A set of instances that serve the same queues.

    Parameters
    ----------
    name : str
        Name of the pool.
    min_serving : int
        Availability budget: minimum number of instances that must be serving.
    size : int
        Number of instances that the pool should own.
    is_spare : bool
        True for the pool that lends instances to others.
    run_time_bound_s : float
        Maximum run time of a request on an upstream, in seconds.
    needs_accelerators : int
        Minimum number of accelerators of an instance of this pool.
    """

    name: Name
    min_serving: Count
    size: Count
    is_spare: bool = False
    run_time_bound_s: Annotated[float, Meta(gt=0, le=86_400)] = 60.0
    needs_accelerators: Count = 0


class InstanceSpec(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """An upstream instance as declared.

    Parameters
    ----------
    name : str
        Name of the instance.
    pool : str
        Pool that should own it.
    zone, rack : str
        Failure domains of the instance.
    address : str
        Numeric address of its HTTP service.
    slots : int
        Maximum number of requests that it runs concurrently.
    connections : int
        Maximum number of connections that it accepts concurrently.
    cores : int
        Number of processor cores.
    memory_mib : int
        Memory in MiB.
    accelerators : int
        Number of accelerators.
    """

    name: Name
    pool: Name
    zone: Name
    rack: Name
    address: Address
    slots: Annotated[int, Meta(ge=1, le=4096)] = 8
    connections: Annotated[int, Meta(ge=1, le=65_536)] = 64
    cores: Annotated[int, Meta(ge=1)] = 16
    memory_mib: Annotated[int, Meta(ge=1)] = 65_536
    accelerators: Count = 0


class Team(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A group of submitters with one share and one ceiling.

    Parameters
    ----------
    name : str
        Name of the team.
    share : int
        Weight when capacity is short; a team gets its share divided by the sum
        of the shares of all teams with work.
    ceiling : int
        Maximum number of the team's requests that run concurrently in the fleet.
    is_strict : bool
        True if an entry that is cut off must refuse the team's work.
    """

    name: Name
    share: Annotated[int, Meta(ge=1, le=1_000_000)]
    ceiling: Count
    is_strict: bool = False


class Key(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """An access key of a team; the secret itself is never stored.

    Parameters
    ----------
    id : str
        Public part of the key.
    team : str
        Team that the key authenticates.
    digest : str
        SHA-256 of the secret part, in hexadecimal.
    """

    id: Name
    team: Name
    digest: Annotated[str, Meta(pattern="^[0-9a-f]{64}$")]


class Queue(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A named queue to which teams submit requests.

    Parameters
    ----------
    name : str
        Name of the queue.
    pool : str
        Pool whose instances run its requests.
    is_open : bool
        True if requests need no key; they run for the team ``open_team``.
    open_team : str or None
        Team that an open queue's work is charged to.
    teams : tuple of str
        Teams that may submit; if empty, every team may.
    max_waiting : int
        Maximum number of requests that wait at one entry.
    max_body_bytes : int
        Maximum size of a request body, in bytes.
    default_deadline_ms : int
        Deadline of a request that sets none, in milliseconds.
    is_strict : bool
        True if an entry that is cut off must refuse the queue's work.
    """

    name: Name
    pool: Name
    is_open: bool = False
    open_team: Name | None = None
    teams: tuple[Name, ...] = ()
    max_waiting: Annotated[int, Meta(ge=0, le=1_000_000)] = 1000
    max_body_bytes: Annotated[int, Meta(ge=0, le=1 << 30)] = 1 << 20
    default_deadline_ms: Annotated[int, Meta(ge=1, le=86_400_000)] = 30_000
    is_strict: bool = False


class Limit(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A fleet-wide limit on the request rate of a team.

    Parameters
    ----------
    name : str
        Name of the limit.
    team : str
        Team that it limits.
    queue : str or None
        Queue that it limits; None means every queue.
    per_second : int
        Maximum number of requests per second.
    burst : int
        Maximum number of requests in a burst after a pause.
    """

    name: Name
    team: Name
    queue: Name | None = None
    per_second: Annotated[int, Meta(ge=1, le=1_000_000)]
    burst: Annotated[int, Meta(ge=1, le=1_000_000)]
