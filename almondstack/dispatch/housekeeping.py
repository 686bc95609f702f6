"""What has to be done from time to time, apart from any caller's thread."""

from almondstack.dispatch.parts import DispatchParts

__all__ = ["run_housekeeping"]


def run_housekeeping(parts: DispatchParts) -> None:
    """Finish grants that are due, take in the list, and close connections.

    Parameters
    ----------
    parts : DispatchParts
        What to look after.
    """
    parts.holder.release_due()
    instances = list(parts.fold.state.instances.values())
    parts.departures.note_listing(instances)
    idle = parts.connections.idle_addresses()
    for instance in instances:
        if instance.spec.address in idle:
            parts.connections.trim(instance.spec.address, parts.chooser.max_idle(instance))
    parts.scheduler.start_ready()
