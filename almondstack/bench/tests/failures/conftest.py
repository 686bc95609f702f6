"""One small fleet for the whole suite; each test leaves it whole."""

import pytest

from almondstack.testing.small_fleet import SmallFleet, small_fleet


@pytest.fixture(scope="session")
def _running_fleet(tmp_path_factory):
    with small_fleet(tmp_path_factory.mktemp("fleet")) as running:
        yield running


@pytest.fixture
def fleet(_running_fleet: SmallFleet):
    _running_fleet.start_judging()
    yield _running_fleet
    _running_fleet.restore()
