"""Entries that hear each other and share bounds, as their status pages show it."""

from almondstack.bench.processes import wait_until

_CEILINGS = {"ceiling/north": 6, "ceiling/south": 20}


def _peers(fleet, entry):
    return fleet.deployment.status(entry)["peers"]


def _held(fleet, resource):
    """Return what all entries hold together; pages are read one after another."""
    pages = [_peers(fleet, entry) for entry in fleet.deployment.layout.entry_names]
    counts = [item for page in pages for item in page["ceilings"]]
    return sum(item["held"] for item in counts if item["resource"] == resource)


def test_entries_hear_each_other_and_share_ceilings(fleet):
    fleet.restore()
    wait_until(lambda: len(_peers(fleet, "e-a1")["heard"]) >= 2, "peers of e-a1")
    wait_until(lambda: _peers(fleet, "e-a1")["reach"] == "connected", "the log at e-a1")
    assert _peers(fleet, "e-a1")["silent_zones"] == []
    for resource, bound in _CEILINGS.items():
        wait_until(
            lambda resource=resource, bound=bound: 0 < _held(fleet, resource) <= bound,
            f"permits of {resource}",
        )
