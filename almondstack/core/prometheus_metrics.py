"""Metrics in the Prometheus text format, which is served over HTTP."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from almondstack.core.metrics import LocalMetrics

__all__ = ["PrometheusMetrics"]

_LATENCY_BUCKETS_S = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0)
_MS = 1000.0


class PrometheusMetrics(LocalMetrics):
    """Keeps counters, gauges and histograms, and renders them in the Prometheus text format.

    Examples
    --------
    >>> metrics = PrometheusMetrics()
    >>> metrics.count("jobs.accepted")
    >>> b'almondstack_events_total{name="jobs.accepted"} 1.0' in metrics.render()
    True
    """

    __slots__ = ("_counter", "_gauge", "_histogram", "_registry")

    def __init__(self) -> None:
        super().__init__()
        self._registry = CollectorRegistry()
        self._counter = Counter(
            "almondstack_events", "Events by name.", ["name"], registry=self._registry
        )
        self._gauge = Gauge(
            "almondstack_level", "Present values by name.", ["name"], registry=self._registry
        )
        self._histogram = Histogram(
            "almondstack_latency_seconds",
            "Durations by name.",
            ["name"],
            registry=self._registry,
            buckets=_LATENCY_BUCKETS_S,
        )

    def count(self, name: str, amount: int = 1) -> None:
        """Add ``amount`` to the counter ``name``."""
        self._counter.labels(name).inc(amount)
        super().count(name, amount)

    def timing_ms(self, name: str, milliseconds: float) -> None:
        """Add a duration in milliseconds to the histogram ``name``."""
        self._histogram.labels(name).observe(milliseconds / _MS)

    def gauge(self, name: str, value: float) -> None:
        """Set the gauge ``name`` to its current value."""
        self._gauge.labels(name).set(value)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self._registry)
