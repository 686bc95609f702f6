"""Periodic housekeeping of the dispatcher, outside of the callers' threads."""

from almondstack.dispatch.parts import DispatchParts

__all__ = ["run_housekeeping"]


def run_housekeeping(parts: DispatchParts) -> None:
    """Finish due grants, apply the instance list, and close surplus idle connections.

    Parameters
    ----------
    parts : DispatchParts
        Components of the dispatcher.
    """
    parts.holder.release_due()
    instances = list(parts.fold.state.instances.values())
    parts.departures.note_listing(instances)
    idle = parts.connections.idle_addresses()
    for instance in instances:
        if instance.spec.address in idle:
            parts.connections.trim(instance.spec.address, parts.chooser.max_idle(instance))
    parts.scheduler.start_ready()
