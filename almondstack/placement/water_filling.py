"""Raises the shares of competing claims evenly until they are met or a resource runs out."""

from collections.abc import Sequence

__all__ = ["Claim", "fill"]

_MIN_RATE = 1e-12
"""A resource whose use rises slower than this with the level is in use by no open claim."""


_MAX_FALL = 1e-6
"""The use of a resource is summed up anew once less than this part of its peak is left: what was
subtracted from a far larger sum has left rounding errors in it."""


class Claim:
    """A demand for several resources that is met in proportion.

    Explanation
    -----------
    What is held already, ``floor``, is met whatever the level.  ``rest`` is met by the part
    that brings the share of the claim's dominant resource to ``level * weight``.  That
    resource is the one of which floor and rest together ask for the largest part.

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
    begin, end : float
        Levels at which the part leaves 0, and reaches 1.
    part : float
        The part of ``rest`` that is met, 0 to 1.
    is_closed : bool
        The part rises no further.
    rates : list of float
        Use of each resource for each unit of the level between ``begin`` and ``end``.
    """

    __slots__ = ("begin", "end", "is_closed", "part", "rates", "rest")

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
        self.begin = 0.0
        self.end = 0.0
        self.rates: list[float] = []
        self._set_levels(weight, floor, capacity)

    def close(self, part: float) -> None:
        """Leave the claim at a part of its rest."""
        self.part = part
        self.is_closed = True

    def part_at(self, level: float) -> float:
        """Return the part of its rest that is met at a level."""
        return min(1.0, max(0.0, (level - self.begin) / (self.end - self.begin)))

    def _set_levels(self, weight: float, floor: Sequence[float], capacity: Sequence[float]) -> None:
        asked = [
            (held + more) / whole if more > 0 and whole > 0 else 0.0
            for held, more, whole in zip(floor, self.rest, capacity, strict=True)
        ]
        share = max(asked)
        dominant = asked.index(share)
        if share > 0:
            self.begin = floor[dominant] / capacity[dominant] / weight
            self.end = share / weight
        if self.end <= self.begin:
            self.close(1.0)
            return
        span = self.end - self.begin
        self.rates = [
            more / span if whole > 0 else 0.0
            for more, whole in zip(self.rest, capacity, strict=True)
        ]


class _Filling:
    """The level that is reached, and what is left of each resource."""

    __slots__ = ("_claims", "_left", "_level", "_open", "_peaks", "_rates")

    def __init__(self, claims: Sequence[Claim], left: Sequence[float]) -> None:
        self._claims = claims
        self._left = [max(0.0, amount) for amount in left]
        self._level = 0.0
        self._open: set[Claim] = set()
        self._rates = [0.0] * len(self._left)
        self._peaks = list(self._rates)

    def raise_to(self, level: float) -> None:
        """Raise the level; claims on a resource that runs out before are closed there."""
        while True:
            at, resource = self._next_end(level)
            self._advance(at)
            if resource is None:
                return
            self._left[resource] = 0.0
            self._close_users(resource)

    def begin(self, claim: Claim) -> None:
        """Let a claim take part from the present level on."""
        self._open.add(claim)
        for resource, rate in enumerate(claim.rates):
            self._rates[resource] += rate
            self._peaks[resource] = max(self._peaks[resource], self._rates[resource])

    def finish(self, claim: Claim) -> None:
        """Close a claim that is met in full."""
        claim.close(1.0)
        self._open.discard(claim)
        for resource, rate in enumerate(claim.rates):
            self._rates[resource] -= rate
        if any(
            rate < _MAX_FALL * peak for rate, peak in zip(self._rates, self._peaks, strict=True)
        ):
            self._sum_up()

    def _next_end(self, level: float) -> tuple[float, int | None]:
        """Return the level up to which all resources last, and the first that ends before."""
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

    def _close_users(self, resource: int) -> None:
        for claim in self._claims:
            if not claim.is_closed and claim.rates[resource] > 0:
                claim.close(claim.part_at(self._level))
                self._open.discard(claim)
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
    All claims rise with one level.  When a resource runs out, the claims that use it stay
    where they are, and the others go on: progressive filling, as in "Dominant Resource
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
    events = [(claim.begin, False, claim) for claim in open_claims]
    events += [(claim.end, True, claim) for claim in open_claims]
    events.sort(key=lambda event: event[:2])
    for level, is_end, claim in events:
        filling.raise_to(level)
        if claim.is_closed:
            continue
        if is_end:
            filling.finish(claim)
        else:
            filling.begin(claim)
