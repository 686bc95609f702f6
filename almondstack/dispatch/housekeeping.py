"""The one helper thread of the dispatcher, and the probes it sends."""

import threading

import urllib3
import xxhash
from urllib3.exceptions import HTTPError

from almondstack.core import PartLogger
from almondstack.dispatch.parts import DispatchParts
from almondstack.model import InstanceState

__all__ = ["Housekeeper", "prober_rank"]

_log = PartLogger("dispatch")
_SERVER_ERROR = 500


def prober_rank(entry: str, instance: str, entries: list[str]) -> int:
    """Return the place of ``entry`` among the probers of ``instance``.

    Explanation
    -----------
    Highest random weight hashing (Thaler and Ravishankar 1998): entries agree on
    the order without a message, and the loss of one moves only its own part.

    Examples
    --------
    >>> from almondstack.dispatch import prober_rank
    >>> sorted(prober_rank(name, "u1", ["e1", "e2", "e3"]) for name in ("e1", "e2", "e3"))
    [0, 1, 2]
    """

    def weight(name: str) -> int:
        return xxhash.xxh64_intdigest(f"{name}/{instance}".encode())

    own = weight(entry)
    return sum(weight(name) > own for name in entries if name != entry)


class Housekeeper:
    """Ends what is due, closes old connections and probes.

    Parameters
    ----------
    parts : DispatchParts
        What it looks after.
    """

    __slots__ = ("_parts", "_probed_s", "_stopping", "_thread")

    def __init__(self, parts: DispatchParts) -> None:
        self._parts = parts
        self._stopping = threading.Event()
        self._thread: threading.Thread | None = None
        self._probed_s = 0.0

    def start(self) -> None:
        """Start the thread."""
        self._thread = threading.Thread(target=self._run, name="dispatch-house", daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """End the thread."""
        self._stopping.set()
        if self._thread is not None:
            self._thread.join(timeout=2.0)

    def run_once(self) -> None:
        """Do everything that is due now, but for probes."""
        parts = self._parts
        parts.holder.release_due()
        instances = list(parts.fold.state.instances.values())
        parts.departures.note_listing(instances)
        idle = parts.connections.idle_addresses()
        for instance in instances:
            if instance.spec.address in idle:
                most_idle = parts.chooser.most_idle(instance)
                parts.connections.trim(instance.spec.address, most_idle)
        parts.scheduler.pump()

    def probe_once(self) -> None:
        """Probe the idle and the suspected upstreams that are this entry's to probe."""
        for instance in list(self._parts.fold.state.instances.values()):
            if self._is_mine(instance) and self._is_due(instance):
                self._probe(instance)

    def _run(self) -> None:
        settings = self._parts.settings
        while not self._stopping.wait(settings.housekeeping_s):
            try:
                self.run_once()
                if self._is_probe_round():
                    self.probe_once()
            except Exception as error:
                _log.error("Housekeeping failed: %s.", type(error).__name__)

    def _is_probe_round(self) -> bool:
        now_s = self._parts.clock.monotonic()
        if now_s - self._probed_s < self._parts.settings.probes.interval_s:
            return False
        self._probed_s = now_s
        return True

    def _is_mine(self, instance: InstanceState) -> bool:
        node = self._parts.node
        if instance.spec.zone != node.zone:
            return False
        live = self._parts.fold.state.live_entries()
        names = [entry.name for entry in live if entry.zone == node.zone]
        rank = prober_rank(node.name, instance.name, names)
        return rank < self._parts.settings.probes.probers

    def _is_due(self, instance: InstanceState) -> bool:
        if not instance.is_taking_work:
            return False
        health = self._parts.health
        is_idle = health.idle_s(instance.name) >= self._parts.settings.probes.idle_after_s
        is_marked = self._parts.departures.is_leaving(instance)
        return is_idle or is_marked or health.is_suspected(instance.name)

    def _probe(self, instance: InstanceState) -> None:
        parts = self._parts
        settings = parts.settings.probes
        url = f"http://{instance.spec.address}{settings.path}"
        pool = parts.chooser.names(instance.pool)
        try:
            with urllib3.PoolManager(retries=False, timeout=settings.timeout_s) as manager:
                reply = manager.request("GET", url, redirect=False)
        except HTTPError:
            parts.health.note_connect_failure(instance.name, pool)
            return
        is_draining = reply.headers.get("Almondstack-Draining", "").lower() == "yes"
        parts.departures.note_probe(instance, is_draining)
        if reply.status < _SERVER_ERROR:
            parts.health.note_probe(instance.name)
        elif not is_draining:
            parts.health.note_failure(instance.name, pool)
