"""Tests of evacuation requests for availability zones, as read from the store."""

import pytest

from almondstack.core.events import EventLog
from almondstack.ownership import Record
from almondstack.platform.configuration import ConfigurationHolder
from almondstack.platform.directory import ConfigurationFollower
from almondstack.platform.store import StoreConnection
from almondstack.platform.tests.builders import configuration_bytes
from almondstack.testing.addresses import free_address


@pytest.fixture
def follower_with_holder():
    holder = ConfigurationHolder()
    connection = StoreConnection(free_address())
    return holder, ConfigurationFollower(connection, holder, EventLog("test"))


def test_a_zone_is_evacuated_until_the_request_is_removed(follower_with_holder):
    holder, follower = follower_with_holder
    follower._apply(Record("evacuate/za", b"{}"))
    follower._apply(Record("evacuate/zb", b"{}"))
    follower._apply(Record("evacuate/za", b"{}"))
    assert holder.evacuated_zones() == {"za", "zb"}
    follower._apply(Record("evacuate/za", b""))
    assert holder.evacuated_zones() == {"zb"}


def test_history_lost_an_evacuation_missing_from_the_snapshot_is_cancelled(follower_with_holder):
    holder, follower = follower_with_holder
    follower._apply(Record("evacuate/za", b"{}"))
    follower._apply_snapshot(
        [Record("config", configuration_bytes()), Record("evacuate/zb", b"{}")]
    )
    assert holder.evacuated_zones() == {"zb"} and holder.configuration is not None


def test_other_records_do_not_evacuate_a_zone(follower_with_holder):
    holder, follower = follower_with_holder
    for key in ("evacuate/", "evacuated/za", "wave/1"):
        follower._apply(Record(key, b"{}"))
    assert holder.evacuated_zones() == frozenset()
