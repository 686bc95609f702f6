"""What has to be done from time to time, apart from any caller's thread."""

from almondstack.dispatch.parts import DispatchParts

__all__ = ["keep_house"]


def keep_house(parts: DispatchParts) -> None:
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
            parts.connections.trim(instance.spec.address, parts.chooser.most_idle(instance))
    parts.scheduler.pump()
