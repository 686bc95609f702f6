"""Settings of the planner."""

from typing import Annotated, Literal

from msgspec import Meta

from almondstack.core import PositiveSeconds, Settings

__all__ = ["FleetSettings"]

_Factor = Annotated[float, Meta(ge=1, le=100)]


class FleetSettings(Settings, frozen=True):
    """What the planner waits for and how long.

    Parameters
    ----------
    view_bound_s : float
        No planned drain starts from a log view or usage report older than this.
    unseen_after_s : float
        An instance is unseen once list and reports lacked it for so long; must
        be longer than the list lags.
    fail_after_s : float
        An instance has failed once its reports were bad for so long.
    recover_after_s : float
        A failed instance returns once its reports were good for so long.
    return_bound_s : float
        Time during which a returning instance takes up load.
    return_timeout_s : float
        A returning instance that gives no good report for so long has failed.
    reboot_timeout_s : float
        A reboot that is not over by then has failed.
    stall_factor : float
        Until drains of the pool were seen, one is stalled after this multiple
        of the declared run-time bound.
    replace_after_s : float
        A lost instance is replaced after this time, or at once if the budget is
        broken.
    pressure_after_s : float
        A pool that is full for so long is lent a spare instance.
    wave_policy : {"spares", "alone", "budget"}
        How many instances of a pool a wave takes at once: as many as the budget
        lets go and the spares back against the loss of a rack, one, or as many
        as the budget lets go.
    loss_pause_s : float
        A wave takes nothing from a pool without reserve for so long after a loss.
    takeover_s : float
        How long each next keeper in the order waits before it acts in place of
        the one before.
    act_lease_s : float
        A keeper acts only within this time after it last saw the log's end.
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
