"""When a queue's next burst is due, learnt from the bursts before it."""

__all__ = ["Burst", "BurstForecast"]

_RISE = 2.0
"""Demand of so many times its long-term mean begins a burst."""

_FALL = 1.0
_MEAN_WEIGHT = 0.02
"""Weight of one sample in the long-term mean; samples come ten times a second or so."""

_LEAST_PERIOD_S = 6.0
_LEAST_PEAK_MILLIS = 8_000.0


class Burst:
    """A burst: when it began, and the most that was asked for during it."""

    __slots__ = ("began_s", "peak_millis")

    def __init__(self, began_s: float, peak_millis: float) -> None:
        self.began_s = began_s
        self.peak_millis = peak_millis


class BurstForecast:
    """Follows one pool's demand and foresees bursts that come at a regular distance.

    Examples
    --------
    >>> forecast = BurstForecast()
    >>> for tick in range(400):
    ...     is_high = tick % 180 < 40
    ...     forecast.note(tick * 0.1, 96_000.0 if is_high else 1_000.0)
    >>> round(forecast.period_s)
    18
    >>> round(forecast.next_start_s())
    54
    """

    __slots__ = ("_is_high", "_last", "_mean_millis", "_period_s")

    def __init__(self) -> None:
        self._mean_millis: float | None = None
        self._is_high = False
        self._last: Burst | None = None
        self._period_s: float | None = None

    @property
    def period_s(self) -> float | None:
        """Seconds between the starts of the last two bursts, once two were seen."""
        return self._period_s

    @property
    def last(self) -> Burst | None:
        """The burst that is on, or the last one."""
        return self._last

    @property
    def is_high(self) -> bool:
        """Whether a burst is on."""
        return self._is_high

    def note(self, now_s: float, millis: float) -> None:
        """Take a sample of the demand, in thousandths of a core."""
        if self._mean_millis is None:
            self._mean_millis = 0.0
        mean = self._mean_millis
        self._mean_millis = mean + _MEAN_WEIGHT * (millis - mean)
        if self._is_high:
            self._follow(millis, mean)
        elif millis >= max(_RISE * mean, _LEAST_PEAK_MILLIS):
            self._begin(now_s, millis)

    def next_start_s(self, period_s: float | None = None) -> float | None:
        """Return when the next burst is due by its own period, or by another queue's."""
        period_s = self._period_s or period_s
        if self._last is None or period_s is None:
            return None
        return self._last.began_s + period_s

    def _follow(self, millis: float, mean: float) -> None:
        self._last.peak_millis = max(self._last.peak_millis, millis)
        if millis < _FALL * mean:
            self._is_high = False

    def _begin(self, now_s: float, millis: float) -> None:
        self._is_high = True
        if self._last is not None:
            distance_s = now_s - self._last.began_s
            if distance_s < _LEAST_PERIOD_S:
                return
            self._period_s = distance_s
        self._last = Burst(now_s, millis)
