"""Counters, timings and gauges, sent by statsd and kept for ``/statusz``."""

import threading
from collections import Counter

import statsd

from almondstack.core.addresses import parse_address
from almondstack.core.settings import StatsdSettings

__all__ = ["LocalMetrics", "StatsdMetrics"]

_FLUSH_INTERVAL_S = 1.0


class LocalMetrics:
    """Keeps counters in the process and sends nothing.

    Examples
    --------
    >>> from almondstack.core import LocalMetrics
    >>> metrics = LocalMetrics()
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
        """Ignore a duration in milliseconds."""

    def gauge(self, name: str, value: float) -> None:
        """Ignore the current value of a gauge."""

    def total(self, name: str) -> int:
        """Return the value of the counter ``name``."""
        with self._lock:
            return self._totals[name]

    def totals(self) -> dict[str, int]:
        """Return a copy of all counters."""
        with self._lock:
            return dict(self._totals)


class StatsdMetrics(LocalMetrics):
    """Keeps counters and sends metrics to a statsd collector over UDP.

    Explanation
    -----------
    A thread sends the increase of every counter once a second, several counters to
    a datagram, so that counting needs no system call.

    Parameters
    ----------
    settings : StatsdSettings
        Address of the collector, and the prefix of every name.
    """

    __slots__ = ("_client", "_gauges", "_sent_totals", "_stop", "_thread")

    def __init__(self, settings: StatsdSettings) -> None:
        super().__init__()
        host, port = parse_address(settings.address)
        self._client = statsd.StatsClient(host, port, prefix=settings.prefix)
        self._sent_totals: Counter[str] = Counter()
        self._gauges: dict[str, float] = {}
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="statsd", daemon=True)

    def start(self) -> None:
        """Start the thread that sends the metrics."""
        self._thread.start()

    def stop(self) -> None:
        """Send the remaining changes and stop the thread."""
        self._stop.set()
        self.flush()

    def timing_ms(self, name: str, milliseconds: float) -> None:
        """Send a duration in milliseconds."""
        self._client.timing(name, milliseconds)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge; only its last value of each second is sent."""
        self._gauges[name] = value

    def flush(self) -> None:
        """Send the counter increases and gauges since the last call."""
        totals = self.totals()
        gauges, self._gauges = self._gauges, {}
        with self._client.pipeline() as pipeline:
            for name, total in totals.items():
                if total != self._sent_totals[name]:
                    pipeline.incr(name, total - self._sent_totals[name])
            for name, value in gauges.items():
                pipeline.gauge(name, value)
        self._sent_totals = Counter(totals)

    def _run(self) -> None:
        while not self._stop.wait(_FLUSH_INTERVAL_S):
            self.flush()
