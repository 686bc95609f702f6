"""What operators ask of availability zones, as the store brings it."""

import pytest

from almondstack.core.events import EventLog
from almondstack.ownership import Record
from almondstack.platform.configuration import ConfigurationHolder
from almondstack.platform.directory import ConfigurationFollower
from almondstack.platform.store import StoreConnection
from almondstack.platform.tests.builders import configuration_bytes
from almondstack.testing.addresses import free_address


@pytest.fixture
def world():
    holder = ConfigurationHolder()
    connection = StoreConnection(free_address())
    return holder, ConfigurationFollower(connection, holder, EventLog("test"))


def test_a_zone_is_evacuated_until_the_request_is_removed(world):
    holder, follower = world
    follower._take(Record("evacuate/za", b"{}"))
    follower._take(Record("evacuate/zb", b"{}"))
    follower._take(Record("evacuate/za", b"{}"))
    assert holder.evacuated_zones() == {"za", "zb"}
    follower._take(Record("evacuate/za", b""))
    assert holder.evacuated_zones() == {"zb"}


def test_history_lost_a_request_that_was_removed_meanwhile_is_over(world):
    holder, follower = world
    follower._take(Record("evacuate/za", b"{}"))
    follower._take_all([Record("config", configuration_bytes()), Record("evacuate/zb", b"{}")])
    assert holder.evacuated_zones() == {"zb"} and holder.configuration is not None


def test_a_record_of_another_kind_evacuates_nothing(world):
    holder, follower = world
    for key in ("evacuate/", "evacuated/za", "wave/1"):
        follower._take(Record(key, b"{}"))
    assert holder.evacuated_zones() == frozenset()
