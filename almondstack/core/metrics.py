"""Counters and timings, sent by statsd and kept for ``/statusz``."""

import threading
from collections import Counter

import statsd

from almondstack.core.addresses import parse_address
from almondstack.core.settings import StatsdSettings

__all__ = ["Metrics", "NullMetrics"]


class NullMetrics:
    """Keeps counts in the process and sends nothing.

    Examples
    --------
    >>> from almondstack.core import NullMetrics
    >>> metrics = NullMetrics()
    >>> metrics.count("refused.queue-full")
    >>> metrics.total("refused.queue-full")
    1
    """

    __slots__ = ("_lock", "_totals")

    def __init__(self) -> None:
        self._totals: Counter[str] = Counter()
        self._lock = threading.Lock()

    def count(self, name: str, amount: int = 1) -> None:
        """Add ``amount`` to the counter ``name``."""
        with self._lock:
            self._totals[name] += amount

    def timing_ms(self, name: str, milliseconds: float) -> None:
        """Record a duration in milliseconds."""

    def gauge(self, name: str, value: float) -> None:
        """Record the present value of something."""

    def total(self, name: str) -> int:
        """Return the counter ``name``."""
        with self._lock:
            return self._totals[name]

    def totals(self) -> dict[str, int]:
        """Return a copy of all counters."""
        with self._lock:
            return dict(self._totals)


class Metrics(NullMetrics):
    """Keeps counts and sends them to a statsd collector over UDP.

    Parameters
    ----------
    settings : StatsdSettings
        Address of the collector, and the prefix of every name.
    """

    __slots__ = ("_client",)

    def __init__(self, settings: StatsdSettings) -> None:
        super().__init__()
        host, port = parse_address(settings.address)
        self._client = statsd.StatsClient(host, port, prefix=settings.prefix)

    def count(self, name: str, amount: int = 1) -> None:
        """Add ``amount`` to the counter ``name`` and send it."""
        super().count(name, amount)
        self._client.incr(name, amount)

    def timing_ms(self, name: str, milliseconds: float) -> None:
        """Send a duration in milliseconds."""
        self._client.timing(name, milliseconds)

    def gauge(self, name: str, value: float) -> None:
        """Send the present value of something."""
        self._client.gauge(name, value)
