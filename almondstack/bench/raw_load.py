"""Load generator on raw persistent sockets, with low overhead for measuring one process.

Explanation
-----------
Runs in a separate process.  With a rate, arrivals are evenly spaced over all
connections and each latency counts from the intended time of sending; without
one, each connection sends its next request on receipt of its answer.
"""

import argparse
import socket
import sys
import threading
import time
from pathlib import Path

import msgspec
from hdrh.histogram import HdrHistogram

from almondstack.core import encode_json, parse_address

__all__ = ["RawLoadResult", "main"]

_MAX_LATENCY_US = 60_000_000
_SIGNIFICANT_DIGITS = 3
_RECEIVE_BYTES = 65_536
_TIMEOUT_S = 30.0


class RawLoadResult(msgspec.Struct, frozen=True):
    """Result of one run of the load generator.

    Parameters
    ----------
    answered, failed : int
        Number of answers with status 200 and with any other status.
    seconds : float
        Duration of the run.
    p50_us, p90_us, p99_us : int
        Percentiles of the latency from the intended time of sending, in
        microseconds.
    """

    answered: int
    failed: int
    seconds: float
    p50_us: int
    p90_us: int
    p99_us: int

    @property
    def per_second(self) -> float:
        """Answers with status 200 per second."""
        return self.answered / self.seconds


class _Connection:
    """A persistent connection with its latency histogram."""

    __slots__ = ("answered", "failed", "histogram", "request", "socket")

    def __init__(self, address: str, request: bytes) -> None:
        self.socket = socket.create_connection(parse_address(address), timeout=_TIMEOUT_S)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.request = request
        self.answered = 0
        self.failed = 0
        self.histogram = HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)

    def exchange(self, intended_s: float) -> None:
        """Send one request, read its answer and record the latency."""
        self.socket.sendall(self.request)
        is_ok = self._read_answer()
        self.histogram.record_value(max(1, int((time.monotonic() - intended_s) * 1e6)))
        self.answered += is_ok
        self.failed += not is_ok

    def _read_answer(self) -> bool:
        data = b""
        while b"\r\n\r\n" not in data:
            data += self._receive()
        head, _, body = data.partition(b"\r\n\r\n")
        length = _content_length(head)
        while len(body) < length:
            body += self._receive()
        return head.startswith(b"HTTP/1.1 200")

    def _receive(self) -> bytes:
        chunk = self.socket.recv(_RECEIVE_BYTES)
        if not chunk:
            raise ConnectionResetError
        return chunk


def _content_length(head: bytes) -> int:
    start = head.lower().index(b"content-length:") + len(b"content-length:")
    return int(head[start:].partition(b"\r\n")[0])


def _send_requests(
    connection: _Connection, first_s: float, interval_s: float, end_s: float
) -> None:
    intended_s = first_s
    while intended_s < end_s:
        delay_s = intended_s - time.monotonic()
        if delay_s > 0:
            time.sleep(delay_s)
        connection.exchange(intended_s)
        intended_s = intended_s + interval_s if interval_s else time.monotonic()


def _run(arguments: argparse.Namespace) -> RawLoadResult:
    request = Path(arguments.request).read_bytes()
    connections = [_Connection(arguments.address, request) for _ in range(arguments.connections)]
    interval_s = arguments.connections / arguments.rate if arguments.rate else 0.0
    start_s = time.monotonic() + 0.05
    threads = [
        threading.Thread(
            target=_send_requests,
            args=(
                connection,
                start_s + number * interval_s / len(connections),
                interval_s,
                start_s + arguments.seconds,
            ),
        )
        for number, connection in enumerate(connections)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return _summary(connections, time.monotonic() - start_s)


def _summary(connections: list[_Connection], seconds: float) -> RawLoadResult:
    merged = HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
    for connection in connections:
        merged.add(connection.histogram)
    return RawLoadResult(
        answered=sum(connection.answered for connection in connections),
        failed=sum(connection.failed for connection in connections),
        seconds=seconds,
        p50_us=merged.get_value_at_percentile(50),
        p90_us=merged.get_value_at_percentile(90),
        p99_us=merged.get_value_at_percentile(99),
    )


def main(argv: list[str] | None = None) -> int:
    """Run the load generator and write its result as JSON."""
    parser = argparse.ArgumentParser(prog="raw-load")
    parser.add_argument("--address", required=True)
    parser.add_argument("--request", required=True, help="file that holds one whole request")
    parser.add_argument("--connections", type=int, default=16)
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--rate", type=float, default=0.0, help="requests a second; 0: closed loop")
    parser.add_argument("--out", required=True)
    arguments = parser.parse_args(argv)
    Path(arguments.out).write_bytes(encode_json(_run(arguments)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
