"""Keys revoked while something else fails."""

import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from almondstack.bench.workload import demo_key
from almondstack.standin.log_service import LogFaults
from almondstack.standin.upstream_faults import UpstreamFaults


def _nothing(deployment) -> None:
    """Leave everything whole."""


def _everything(deployment) -> None:
    """Make the log slow and lossy, and an upstream slow."""
    deployment.set_log_faults(LogFaults(delay_s=0.2, drop_replies=2))
    deployment.set_upstream_faults("u1", UpstreamFaults(slow_factor=10.0))


@pytest.mark.parametrize(("number", "play"), [(1, _nothing), (2, _everything)])
def test_revoked_key_starts_nothing_after_three_seconds(fleet, number, play):
    key = demo_key("north", number)
    play(fleet.deployment)
    with ThreadPoolExecutor(1) as executor:
        revoked = executor.submit(fleet.deployment.revoke_key, f"north-{number}")
        records = []
        end_s = time.monotonic() + 3.5
        while time.monotonic() < end_s:
            zones = ("a", "a", "b", "b")
            items = [fleet.item(team="north", key=key, zone=zone) for zone in zones]
            records += fleet.submit(*items)
        revoked.result()
    assert fleet.violations(records) == {}
    assert {record.reason for record in records[-4:]} == {"key-revoked"}
