"""Until when a new owner assumes that the previous owner may have extended leases."""

from almondstack.control.owner import previous_extension_bound_s
from almondstack.ownership import OwnershipSettings


def test_the_previous_owner_may_extend_leases_for_the_full_time_after_its_last_write():
    """Guards against a new owner that starts runs before the leases of the old ones expire.

    A process that has just started claims ownership after 0.15 s of silence when a
    network partition refuses its connections.  It subtracted the 0.7 s of silence that
    other processes wait for, and started two runs 0.3 s before the leases of the old
    ones had expired (magnolia-pay, scale-1).
    """
    settings = OwnershipSettings()
    assert settings.new_doubt_s < settings.doubt_s
    assert previous_extension_bound_s(10.0, settings) - 10.0 >= settings.unsure_s


def test_the_extension_time_counts_from_the_last_write_and_not_from_the_take_over():
    """Guards against runs that stand still for too long after a zone is lost with its owner.

    Runs of a partitioned zone stood still for 9 s (magnolia-pay-grown, 33.5 s).  The
    previous owner stored nothing after the record that was read at 9 s, so it extends
    no lease after 11.5 s, independent of when another process takes over.
    """
    settings = OwnershipSettings(unsure_s=2.5)
    assert previous_extension_bound_s(9.0, settings) == 11.5
