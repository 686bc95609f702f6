"""What a new owner assumes of the one before."""

from almondstack.control.owner import previous_extension_bound_s
from almondstack.ownership import OwnershipSettings


def test_an_owner_that_wrote_just_before_the_take_over_may_extend_for_its_whole_time():
    """A process just started claims after 0.15 s of silence, when a cut refuses connections.

    It took off the 0.7 s of silence that others wait for, and began two runs 0.3 s
    before the old ones had lapsed (magnolia-pay, scale-1).
    """
    settings = OwnershipSettings()
    assert settings.new_doubt_s < settings.doubt_s
    assert previous_extension_bound_s(10.0, settings) - 10.0 >= settings.unsure_s


def test_the_time_in_which_an_owner_was_silent_counts():
    """A zone was cut with its owner; its runs stood still for 9 s (magnolia-pay-grown, 33.5 s).

    The owner before stored nothing after what was read at 9 s, so it extends no
    lease after 11.5 s, whenever another takes over.
    """
    settings = OwnershipSettings(unsure_s=2.5)
    assert previous_extension_bound_s(9.0, settings) == 11.5
