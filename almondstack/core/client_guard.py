"""Limits of one process on all its clients, and the record of clients that exceed them."""

import threading
import time
from collections import Counter
from collections.abc import Callable
from enum import StrEnum
from typing import TYPE_CHECKING

import msgspec

from almondstack.core.byte_budget import ByteBudget
from almondstack.core.metrics import LocalMetrics

if TYPE_CHECKING:
    from almondstack.core.http_server import PlatformHttpServer

__all__ = ["ClientGuard", "HttpLimits", "Refusal"]

_LINE_INTERVAL_S = 10.0
"""Time between two log lines about refusals of one kind, in seconds."""

_MB = 1_000_000


class Refusal(StrEnum):
    """Why a request or a connection of a client was refused."""

    HEAD = "head"
    """The head of a request was malformed or too long."""

    BODY = "body"
    """A body was malformed or too long."""

    MEMORY = "memory"
    """The bodies of unfinished requests held too many bytes together."""

    HEAD_TIME = "head-time"
    """A head did not arrive in time."""

    BODY_TIME = "body-time"
    """A body did not arrive in time."""

    CONNECTIONS = "connections"
    """Too many connections were open."""

    UNREAD_ANSWERS = "unread-answers"
    """The client did not read the answers to its requests."""


class HttpLimits(msgspec.Struct, frozen=True):
    """Limits on the clients of the HTTP servers of one process.

    Parameters
    ----------
    max_connections : int
        Open connections to one address.
    head_timeout_s : float
        Time from the first byte of a request to the end of its head, in seconds.
    body_timeout_s : float
        Time from the end of a head to the end of the body, in seconds.
    write_timeout_s : float
        Time in which a client must take an answer, in seconds.
    max_held_bytes : int
        Bytes of the bodies of all unfinished requests together, except the first 16 KiB of each.
    """

    max_connections: int = 900
    head_timeout_s: float = 6.0
    body_timeout_s: float = 10.0
    write_timeout_s: float = 3.0
    max_held_bytes: int = 25 * _MB


class ClientGuard:
    """What all HTTP servers of one process share: limits, the bytes held, refusals so far.

    Parameters
    ----------
    limits : HttpLimits, optional
        Limits on the clients.
    metrics : LocalMetrics, optional
        Counts ``client-refused.REASON``.
    write_line : callable, optional
        Writes a log line: gets the name of the event, and its fields by name.

    Attributes
    ----------
    limits : HttpLimits
        Limits on the clients.
    budget : ByteBudget
        Bounds the bytes that bodies hold.
    servers : list of PlatformHttpServer
        The servers that accept connections.
    """

    __slots__ = (
        "_counts",
        "_lock",
        "_metrics",
        "_next_line_s",
        "_write_line",
        "budget",
        "limits",
        "servers",
    )

    def __init__(
        self,
        limits: HttpLimits | None = None,
        metrics: LocalMetrics | None = None,
        write_line: Callable[..., None] = lambda event, **fields: None,
    ) -> None:
        self.limits = limits or HttpLimits()
        self.budget = ByteBudget(self.limits.max_held_bytes)
        self.servers: list[PlatformHttpServer] = []
        self._metrics = metrics or LocalMetrics()
        self._write_line = write_line
        self._counts: Counter[Refusal] = Counter()
        self._next_line_s: dict[Refusal, float] = {}
        self._lock = threading.Lock()

    def refuse(self, refusal: Refusal, port: int) -> None:
        """Count a refusal by the server at a port, and log it unless one like it was just logged.

        Explanation
        -----------
        The line has the number of refusals of the kind since the process started.
        """
        self._metrics.count(f"client-refused.{refusal}")
        now_s = time.monotonic()
        with self._lock:
            self._counts[refusal] += 1
            count = self._counts[refusal]
            if now_s < self._next_line_s.get(refusal, 0.0):
                return
            self._next_line_s[refusal] = now_s + _LINE_INTERVAL_S
        self._write_line("client-refused", why=refusal.value, port=port, count=count)
