"""Metrics sent to a statsd collector over UDP."""

import socket

from almondstack.core import StatsdMetrics, StatsdSettings


def test_flush_sends_the_increase_of_each_counter():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as collector:
        collector.bind(("127.0.0.1", 0))
        collector.settimeout(5.0)
        address = f"127.0.0.1:{collector.getsockname()[1]}"
        metrics = StatsdMetrics(StatsdSettings(address=address, prefix="x"))
        metrics.count("refused.queue-full")
        metrics.count("refused.queue-full", 2)
        metrics.gauge("waiting", 7)
        metrics.flush()
        assert collector.recv(1000) == b"x.refused.queue-full:3|c\nx.waiting:7|g"
        metrics.count("refused.queue-full")
        metrics.flush()
        assert collector.recv(1000) == b"x.refused.queue-full:1|c"
