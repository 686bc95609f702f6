"""Serves the health checks and the status of a keeper over HTTP."""

from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from almondstack.core import LocalMetrics, encode_json
from almondstack.fleet import DrainEstimates, FleetView, remaining_s, wave_hold_reason
from almondstack.model import WaveState

__all__ = ["KeeperStatus", "StatusApp", "WaveProgress", "wave_progress"]

_OK = "200 OK"
_NOT_FOUND = "404 Not Found"
_NOT_READY = "503 Service Unavailable"


class WaveProgress(msgspec.Struct, frozen=True, kw_only=True):
    """Progress of a wave.

    Parameters
    ----------
    wave, phase, reason : str
        Name of the wave, its phase and the reason for the phase.
    members, done, set_aside, out : int
        Number of instances in all, done, set aside and out of service now.
    hold : str
        Why the wave drains nothing now; empty if it makes progress.
    remaining_s : float
        Estimated time until the wave ends, in seconds; 0 if it is not running.
    """

    wave: str
    phase: str
    reason: str
    members: int
    done: int
    set_aside: int
    out: int
    hold: str = ""
    remaining_s: float = 0.0


class KeeperStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Body of ``/statusz``; times in seconds."""

    incarnation: str
    next_offset: int
    log_silence_s: float
    is_ready: bool
    waves: list[WaveProgress]
    counters: dict[str, int]


def wave_progress(view: FleetView, estimates: DrainEstimates) -> list[WaveProgress]:
    """Return the progress of each wave, sorted by name.

    Parameters
    ----------
    view : FleetView
        The fleet; without usage reports ``hold`` is empty.
    estimates : DrainEstimates
        Estimated durations of drains and cycles.
    """
    return [_progress(view, view.state.waves[name], estimates) for name in sorted(view.state.waves)]


def _progress(view: FleetView, wave: WaveState, estimates: DrainEstimates) -> WaveProgress:
    out = sum(item.wave == wave.name for item in view.state.instances.values())
    return WaveProgress(
        wave=wave.name,
        phase=wave.phase,
        reason=wave.reason,
        members=len(wave.members),
        done=len(wave.done),
        set_aside=len(wave.set_aside),
        out=out,
        hold=wave_hold_reason(view, wave) if view.observations.reports else "",
        remaining_s=remaining_s(view, wave, estimates) if wave.is_running else 0.0,
    )


class StatusApp:
    """WSGI application (PEP 3333) that serves the health checks and the status.

    Parameters
    ----------
    read : callable
        Returns the current status.
    metrics : LocalMetrics
        Counts requests for unknown paths.
    """

    __slots__ = ("_metrics", "_read")

    def __init__(self, read: Callable[[], KeeperStatus], metrics: LocalMetrics) -> None:
        self._read = read
        self._metrics = metrics

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Serve one request."""
        status, body = self._page(environ["PATH_INFO"])
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        start_response(status, headers)
        return [body]

    def _page(self, path: str) -> tuple[str, bytes]:
        if path == "/livez":
            return _OK, b"{}"
        if path == "/readyz":
            return (_OK if self._read().is_ready else _NOT_READY), b"{}"
        if path == "/statusz":
            return _OK, encode_json(self._read())
        self._metrics.count("keeper.status.not-found")
        return _NOT_FOUND, b"{}"
