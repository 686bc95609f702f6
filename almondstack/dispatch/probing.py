"""Active health probes of idle, suspected and leaving upstreams."""

import urllib3
import xxhash
from urllib3.exceptions import HTTPError

from almondstack.dispatch.parts import DispatchParts
from almondstack.model import InstanceState

__all__ = ["Prober", "prober_rank"]

_SERVER_ERROR = 500


def prober_rank(entry: str, instance: str, entries: list[str]) -> int:
    """Return the rank of ``entry`` among the probers of ``instance``; 0 is the first.

    Explanation
    -----------
    Highest random weight hashing (Thaler and Ravishankar 1998): entries agree on
    the order without messages, and the loss of an entry reassigns only the
    upstreams that it probed.

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


class Prober:
    """Probes the upstreams that are assigned to this entry.

    Parameters
    ----------
    parts : DispatchParts
        Components of the dispatcher.
    """

    __slots__ = ("_parts",)

    def __init__(self, parts: DispatchParts) -> None:
        self._parts = parts

    def probe_due(self) -> None:
        """Probe each assigned upstream that is due, one after the other."""
        for instance in list(self._parts.fold.state.instances.values()):
            if self.is_assigned(instance) and self._is_due(instance):
                self._probe(instance)

    def is_assigned(self, instance: InstanceState) -> bool:
        """Return True if this entry is one of the probers of ``instance``."""
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
        pool = parts.chooser.accepting_names(instance.pool)
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
