"""Suppresses proposals that another keeper should make, or that were just made.

Explanation
-----------
The keeper of rank 0 appends a proposal at once; each next keeper appends it one
``takeover_s`` later if it is still planned then.  A keeper appends a proposal
again only after ``_REPROPOSE_AFTER_S``, because the record may not be folded yet.
"""

from almondstack.fleet import FleetSettings, Proposal, keeper_names, rank_of
from almondstack.model import FleetState

__all__ = ["ProposalGate"]

_REPROPOSE_AFTER_S = 5.0


class ProposalGate:
    """Decides which proposals this keeper appends now.

    Parameters
    ----------
    own : str
        Name of the instance that this keeper runs on.
    settings : FleetSettings
        Gives the delay between the ranks of keepers.
    """

    __slots__ = ("_first_planned_s", "_last_passed_s", "_own", "_settings")

    def __init__(self, own: str, settings: FleetSettings) -> None:
        self._own = own
        self._settings = settings
        self._first_planned_s: dict[str, float] = {}
        self._last_passed_s: dict[str, float] = {}

    def choose(self, proposals: list[Proposal], state: FleetState, now_s: float) -> list[Proposal]:
        """Return the proposals to append at ``now_s``, seconds on the monotonic clock."""
        names = keeper_names(state, self._own)
        planned_keys = {item.key for item in proposals}
        self._first_planned_s = {
            key: at_s for key, at_s in self._first_planned_s.items() if key in planned_keys
        }
        self._last_passed_s = {
            key: at_s for key, at_s in self._last_passed_s.items() if key in planned_keys
        }
        return [item for item in proposals if self._passes(item, names, now_s)]

    def _passes(self, proposal: Proposal, names: list[str], now_s: float) -> bool:
        first_planned_s = self._first_planned_s.setdefault(proposal.key, now_s)
        wait_s = rank_of(self._own, names, proposal.subject) * self._settings.takeover_s
        last_passed_s = self._last_passed_s.get(proposal.key)
        was_just_passed = last_passed_s is not None and now_s - last_passed_s < _REPROPOSE_AFTER_S
        if now_s - first_planned_s < wait_s or was_just_passed:
            return False
        self._last_passed_s[proposal.key] = now_s
        return True
