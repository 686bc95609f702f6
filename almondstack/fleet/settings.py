"""Settings of the fleet planner and of the keeper's coordination with other keepers."""

from typing import Annotated, Literal

from msgspec import Meta

from almondstack.core import PositiveSeconds, Settings

__all__ = ["FleetSettings"]

_Factor = Annotated[float, Meta(ge=1, le=100)]


class FleetSettings(Settings, frozen=True):
    """Bounds, delays and policies of the planner; times in seconds.

    Parameters
    ----------
    view_bound_s : float
        A planned drain starts only on a log view and usage report younger than this.
    unseen_after_s : float
        An instance is unseen once it was in neither the list nor the reports for
        this time; must be longer than the lag of the list.
    fail_after_s : float
        An instance has failed once its reports were unhealthy for this time.
    recover_after_s : float
        A failed instance returns once its reports were healthy for this time.
    return_bound_s : float
        Time in which a returning instance ramps up to full load.
    return_timeout_s : float
        A returning instance without a healthy report for this time has failed.
    reboot_timeout_s : float
        A reboot that takes longer than this has failed.
    stall_factor : float
        Drains are stalled after this multiple of the declared run-time bound at
        the latest, and exactly then until enough drains of the pool were observed.
    replace_after_s : float
        A lost instance is replaced after this time, or at once if its pool is
        below the budget.
    pressure_after_s : float
        A pool whose slots are all in use for this time is lent an instance.
    wave_policy : {"spares", "alone", "budget"}
        How many instances of a pool a wave drains at once: ``spares``, as many as
        the budget allows while spares could replace a lost rack; ``alone``, one;
        ``budget``, as many as the budget allows.
    loss_pause_s : float
        For this time after a loss in a pool, a wave drains none of its instances that
        the spares don't cover.
    takeover_s : float
        Delay after which the next keeper in rank takes over from the one before.
    act_lease_s : float
        A keeper executes acts only within this time after it last read the log to
        its end.
    """

    view_bound_s: PositiveSeconds = 30.0
    unseen_after_s: PositiveSeconds = 90.0
    fail_after_s: PositiveSeconds = 5.0
    recover_after_s: PositiveSeconds = 10.0
    return_bound_s: PositiveSeconds = 5.0
    return_timeout_s: PositiveSeconds = 120.0
    reboot_timeout_s: PositiveSeconds = 900.0
    stall_factor: _Factor = 10.0
    replace_after_s: PositiveSeconds = 60.0
    pressure_after_s: PositiveSeconds = 180.0
    wave_policy: Literal["spares", "alone", "budget"] = "spares"
    loss_pause_s: PositiveSeconds = 600.0
    takeover_s: PositiveSeconds = 3.0
    act_lease_s: PositiveSeconds = 5.0
