"""What a new owner assumes of the one before."""

from almondstack.control.owner import leases_known_from_s
from almondstack.ownership import OwnershipSettings


def test_an_owner_that_wrote_just_before_the_take_over_may_extend_for_its_whole_time():
    """A process just started claims after 0.15 s of silence, when a cut refuses connections.

    It took off the 0.7 s of silence that others wait for, and began two runs 0.3 s
    before the old ones had lapsed (magnolia-pay, scale-1).
    """
    settings = OwnershipSettings()
    assert settings.new_doubt_s < settings.doubt_s
    assert leases_known_from_s(10.0, settings) - 10.0 >= settings.unsure_s
