"""Arrivals by seed: every queue bursts in turn and rests in between."""

import random
from collections.abc import Iterator

import msgspec

from almondstack.bench.caller import WorkItem
from almondstack.model import Queue, ReleaseNote

__all__ = ["Mix", "QueueLoad", "arrivals", "demo_key", "longer_work"]

_BURST_FACTOR = 5.0
_REST_FACTOR = 0.05


class QueueLoad(msgspec.Struct, frozen=True, kw_only=True):
    """How much of what one queue gets.

    Parameters
    ----------
    queue : str
        Name of the queue.
    weights : dict of str to float
        Part of each team in the queue's requests.
    per_second : float
        Mean rate of arrivals.
    work_ms : float
        Mean time on an upstream, in milliseconds; exponential up to five times.
    idempotent, urgent : float
        Parts of the requests that are so marked.
    """

    queue: str
    weights: dict[str, float]
    per_second: float
    work_ms: float
    idempotent: float = 0.0
    urgent: float = 0.0


class Mix(msgspec.Struct, frozen=True, kw_only=True):
    """The loads of a deployment's queues.

    Parameters
    ----------
    loads : tuple of QueueLoad
        One load a queue.
    turn_s : float
        How long each queue's burst lasts, in seconds.
    duration_s : float
        How long requests are sent, in seconds.
    has_bursts : bool
        False for steady arrivals.
    """

    loads: tuple[QueueLoad, ...]
    turn_s: float = 4.0
    duration_s: float = 20.0
    has_bursts: bool = True

    def rate(self, number: int, at_s: float) -> float:
        """Return the rate of one queue, in requests a second, at a time."""
        load = self.loads[number]
        if not self.has_bursts:
            return load.per_second
        is_turn = int(at_s / self.turn_s) % len(self.loads) == number
        return load.per_second * (_BURST_FACTOR if is_turn else _REST_FACTOR)


def longer_work(mix: Mix, factor: float) -> Mix:
    """Return ``mix`` with every run time multiplied."""
    loads = tuple(
        msgspec.structs.replace(load, work_ms=load.work_ms * factor) for load in mix.loads
    )
    return msgspec.structs.replace(mix, loads=loads)


def demo_key(team: str, number: int = 1) -> str:
    """Return the key of a team of the example notes; it protects nothing."""
    return f"{team}-{number}.{team}-{number}-demo-secret"


def arrivals(mix: Mix, note: ReleaseNote, zones: list[str], seed: int) -> list[WorkItem]:
    """Return all work of a run by its intended time, counted from 0.

    Explanation
    -----------
    A Poisson process whose rate changes with the bursts, made by thinning
    (Lewis and Shedler 1979).  The same seed gives the same work.
    """
    queues = {queue.name: queue for queue in note.added.queues}
    items = [
        item
        for number, load in enumerate(mix.loads)
        for item in _queue_arrivals(
            mix, number, queues[load.queue], zones, random.Random(f"{seed}/{load.queue}")
        )
    ]
    return sorted(items, key=lambda item: item.intended_s)


def _queue_arrivals(
    mix: Mix, number: int, queue: Queue, zones: list[str], chance: random.Random
) -> Iterator[WorkItem]:
    load = mix.loads[number]
    highest = load.per_second * (_BURST_FACTOR if mix.has_bursts else 1.0)
    at_s = chance.expovariate(highest)
    count = 0
    while at_s < mix.duration_s:
        if chance.random() * highest < mix.rate(number, at_s):
            count += 1
            yield _item(load, queue, f"{queue.name}-{count}", at_s, zones, chance)
        at_s += chance.expovariate(highest)


def _item(
    load: QueueLoad,
    queue: Queue,
    work_id: str,
    at_s: float,
    zones: list[str],
    chance: random.Random,
) -> WorkItem:
    team = chance.choices(list(load.weights), list(load.weights.values()))[0]
    work_ms = min(chance.expovariate(1 / load.work_ms), 5 * load.work_ms)
    return WorkItem(
        work_id=work_id,
        team=team,
        queue=queue.name,
        zone=chance.choice(zones),
        key=None if queue.is_open else demo_key(team, chance.choice((1, 2))),
        work_ms=round(work_ms),
        body=work_id.encode() * chance.randint(1, 20),
        is_idempotent=chance.random() < load.idempotent,
        is_urgent=chance.random() < load.urgent,
        has_id=chance.random() < 0.5,
        intended_s=at_s,
        answer_bytes=chance.choice((0, 100, 5000)),
    )
