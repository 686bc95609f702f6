"""What a keeper shows of itself over HTTP."""

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
    """How far a wave is.

    Parameters
    ----------
    wave, phase, reason : str
        The wave, its phase and why it is in it.
    members, done, set_aside, out : int
        Instances in all, done, given up and out of service now.
    hold : str
        Why nothing is taken now; empty if the wave goes on.
    remaining_s : float
        Estimate of the time until the wave ends, in seconds; 0 if it does not run.
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
    """The page ``/statusz``."""

    incarnation: str
    next_offset: int
    log_silence_s: float
    is_ready: bool
    waves: list[WaveProgress]
    counters: dict[str, int]


def wave_progress(view: FleetView, estimates: DrainEstimates) -> list[WaveProgress]:
    """Return the progress of each wave, by name.

    Parameters
    ----------
    view : FleetView
        The fleet; without usage reports no reason to hold is given.
    estimates : DrainEstimates
        What was learned of run times.
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
        hold=wave_hold_reason(view, wave) if view.seen.reports else "",
        remaining_s=remaining_s(view, wave, estimates) if wave.is_running else 0.0,
    )


class StatusApp:
    """Serves the health pages by WSGI (PEP 3333).

    Parameters
    ----------
    read : callable
        Returns the present status.
    metrics : LocalMetrics
        Counts requests for pages that don't exist.
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
