"""Divides resources between weighted claims: max-min over dominant shares, by progressive filling.

Explanation
-----------
All claims rise with one *level*.  At a level, the dominant share of each open claim (the largest
share that it has of any resource) is the level times its weight.  A claim is closed once it is
met in full or a resource that it uses runs out.
"""

from collections.abc import Sequence
from typing import NamedTuple

__all__ = ["Claim", "fill"]

_MIN_RATE = 1e-12
"""Least rate of use of a resource: below it there are only rounding errors, and no open claim
uses it."""

_MIN_REMAINING_SHARE = 1e-6
"""The rate of use of a resource is summed up anew once it is below this share of its peak, since
subtractions from a far larger sum leave rounding errors."""


class _Segment(NamedTuple):
    """A range of levels in which one resource is the dominant one of a claim.

    Parameters
    ----------
    level : float
        The level at which it begins.
    part : float
        The part of the claim's rest that is met at that level, 0 to 1.
    slope : float
        By how much that part rises for each unit of the level.
    """

    level: float
    part: float
    slope: float


class Claim:
    """A demand for several resources that is met in proportion.

    Explanation
    -----------
    ``floor`` is what the claim holds already; it is met whatever the level.  Of ``rest``, the
    part is met that brings the claim's dominant share to ``level * weight``.  The dominant share
    is that of floor and met part together, over the resources that the rest asks for.

    Parameters
    ----------
    weight : float
        Relative share; above 0.
    floor, rest : sequence of float
        Amounts of each resource.
    capacity : sequence of float
        What there is of each resource, in the same units; a resource of which there is
        nothing bounds no claim.

    Attributes
    ----------
    rest : sequence of float
        As passed.
    uses : list of bool
        Whether the claim competes for each resource: its rest asks for some, and there is some.
    segments : list of _Segment
        The part that is met, as a function of the level, in order of the level; empty if the
        claim is met at once.
    end : float
        Level at which the part reaches 1.
    part : float
        The part of ``rest`` that is met, 0 to 1.
    is_closed : bool
        The part rises no further.
    rates : list of float
        Use of each resource for each unit of the level in the present segment.

    Examples
    --------
    >>> claim = Claim(1.0, (20.0, 0.0), (10.0, 80.0), (100.0, 100.0))
    >>> [claim.part_at(level) for level in (0.2, 0.25, 0.4, 0.8)]
    [0.0, 0.3125, 0.5, 1.0]
    """

    __slots__ = ("end", "is_closed", "part", "rates", "rest", "segments", "uses")

    def __init__(
        self,
        weight: float,
        floor: Sequence[float],
        rest: Sequence[float],
        capacity: Sequence[float],
    ) -> None:
        self.rest = rest
        self.part = 0.0
        self.is_closed = False
        self.uses = [more > 0 and whole > 0 for more, whole in zip(rest, capacity, strict=True)]
        self.rates = [0.0] * len(rest)
        shares = [
            (held / whole, more / whole)
            for held, more, whole, is_used in zip(floor, rest, capacity, self.uses, strict=True)
            if is_used
        ]
        self.segments = _segments(shares, weight)
        self.end = max((held + more for held, more in shares), default=0.0) / weight
        if not self.segments:
            self.close(1.0)

    def close(self, part: float) -> None:
        """Leave the claim at a part of its rest."""
        self.part = part
        self.is_closed = True

    def enter(self, segment: _Segment) -> list[float]:
        """Go on in a segment; return the changes of ``rates``."""
        before = self.rates
        self.rates = [
            more * segment.slope if is_used else 0.0
            for more, is_used in zip(self.rest, self.uses, strict=True)
        ]
        return [rate - old for rate, old in zip(self.rates, before, strict=True)]

    def part_at(self, level: float) -> float:
        """Return the part of its rest that is met at a level."""
        reached = [segment for segment in self.segments if segment.level <= level]
        if not reached:
            return 0.0
        last = reached[-1]
        return min(1.0, max(0.0, last.part + (level - last.level) * last.slope))


def _segments(shares: Sequence[tuple[float, float]], weight: float) -> list[_Segment]:
    """Return the segments of a claim, in order of the level.

    Explanation
    -----------
    A resource's share is ``held + part * more``, a line over the part.  The dominant share is
    the highest line at each part.  From the line that is highest at part 0, each step goes on to
    the steeper line that crosses the present one first; of several, to the steepest.

    Parameters
    ----------
    shares : sequence of tuple
        For each resource, what the floor and what the rest takes of it, as shares.
    weight : float
        Weight of the claim.
    """
    if not shares:
        return []
    found: list[_Segment] = []
    part = 0.0
    held, more = max(shares)
    while part < 1.0:
        found.append(_Segment((held + part * more) / weight, part, weight / more))
        crossings = [
            (max(part, (held - other_held) / (other_more - more)), -other_more, other_held)
            for other_held, other_more in shares
            if other_more > more
        ]
        part, steepness, held = min(crossings, default=(1.0, 0.0, 0.0))
        more = -steepness
    return found


class _Filling:
    """The level that is reached, what is left of each resource, and how fast it is used.

    Explanation
    -----------
    Rates are sums over the open claims, for each resource, per unit of the level.  Peaks are the
    highest rates since the rates were last summed up.
    """

    __slots__ = ("_claims", "_left", "_level", "_open", "_peaks", "_rates")

    def __init__(self, claims: Sequence[Claim], left: Sequence[float]) -> None:
        self._claims = claims
        self._left = [max(0.0, amount) for amount in left]
        self._level = 0.0
        self._open: set[Claim] = set()
        self._rates = [0.0] * len(self._left)
        self._peaks = list(self._rates)

    def raise_to(self, level: float) -> None:
        """Raise the level; where a resource runs out on the way, close the claims on it there."""
        while True:
            at, resource = self._next_exhausted(level)
            self._advance(at)
            if resource is None:
                return
            self._left[resource] = 0.0
            self._close_claims_on(resource)

    def enter(self, claim: Claim, segment: _Segment) -> None:
        """Let a claim take part in one of its segments from the present level on."""
        self._open.add(claim)
        for resource, change in enumerate(claim.enter(segment)):
            self._rates[resource] += change
            self._peaks[resource] = max(self._peaks[resource], self._rates[resource])
        self._sum_up_if_inexact()

    def finish(self, claim: Claim) -> None:
        """Close a claim that is met in full."""
        claim.close(1.0)
        self._open.discard(claim)
        for resource, rate in enumerate(claim.rates):
            self._rates[resource] -= rate
        self._sum_up_if_inexact()

    def _next_exhausted(self, level: float) -> tuple[float, int | None]:
        """Return where the first resource runs out, and which; ``level`` and None if none does."""
        found: int | None = None
        for resource, rate in enumerate(self._rates):
            if rate > _MIN_RATE and self._left[resource] < rate * (level - self._level):
                level = self._level + self._left[resource] / rate
                found = resource
        return level, found

    def _advance(self, level: float) -> None:
        step = level - self._level
        self._level = level
        for resource, rate in enumerate(self._rates):
            self._left[resource] = max(0.0, self._left[resource] - rate * step)

    def _close_claims_on(self, resource: int) -> None:
        for claim in self._claims:
            if not claim.is_closed and claim.uses[resource]:
                claim.close(claim.part_at(self._level))
                self._open.discard(claim)
        self._sum_up()

    def _sum_up_if_inexact(self) -> None:
        """Sum up the rates anew if one has fallen so far that rounding errors count."""
        rates = zip(self._rates, self._peaks, strict=True)
        if any(rate < _MIN_REMAINING_SHARE * peak for rate, peak in rates):
            self._sum_up()

    def _sum_up(self) -> None:
        self._rates = [
            sum(claim.rates[number] for claim in self._open) for number in range(len(self._left))
        ]
        self._peaks = list(self._rates)


def fill(claims: Sequence[Claim], left: Sequence[float]) -> None:
    """Set the part of each claim: weighted max-min over the dominant resource of each.

    Explanation
    -----------
    When a resource runs out, the claims that use it stay where they are, and the others go on:
    progressive filling, as in "Dominant Resource
    Fairness" (Ghodsi et al., NSDI 2011), with floors and weights.

    Parameters
    ----------
    claims : sequence of Claim
        The claims; their ``part`` is set.
    left : sequence of float
        What is left of each resource once all floors are met.

    Examples
    --------
    >>> small, large = (Claim(1.0, (0.0,), (rest,), (100.0,)) for rest in (10.0, 900.0))
    >>> fill([small, large], [100.0])
    >>> small.part, round(large.part * 900.0)
    (1.0, 90)
    """
    filling = _Filling(claims, left)
    open_claims = [claim for claim in claims if not claim.is_closed]
    events: list[tuple[float, bool, Claim, _Segment | None]] = [
        (segment.level, False, claim, segment)
        for claim in open_claims
        for segment in claim.segments
    ]
    # Of events at one level, ends come last: a claim enters its segments before it is met.
    events += [(claim.end, True, claim, None) for claim in open_claims]
    events.sort(key=lambda event: event[:2])
    for level, _, claim, segment in events:
        filling.raise_to(level)
        if claim.is_closed:
            continue
        if segment is None:
            filling.finish(claim)
        else:
            filling.enter(claim, segment)
