"""Holds back proposals that another keeper should make, or that are under way.

Explanation
-----------
A proposal of the keeper that is first in the order passes at once; the others
pass one waiting time later each, if it is still wanted then.  A proposal passes
again only after a pause, because its verdict may be on the way.
"""

from almondstack.fleet import FleetSettings, Proposal, keeper_names, rank_of
from almondstack.model import FleetState

__all__ = ["ProposalGate"]

_REPEAT_S = 5.0


class ProposalGate:
    """Decides which proposals this keeper appends now.

    Parameters
    ----------
    own : str
        Name of the instance that this keeper runs on.
    settings : FleetSettings
        How long each next keeper waits.
    """

    __slots__ = ("_own", "_passed_s", "_settings", "_wanted_s")

    def __init__(self, own: str, settings: FleetSettings) -> None:
        self._own = own
        self._settings = settings
        self._wanted_s: dict[str, float] = {}
        self._passed_s: dict[str, float] = {}

    def choose(self, proposals: list[Proposal], state: FleetState, now_s: float) -> list[Proposal]:
        """Return the proposals to append at ``now_s``, seconds on the monotonic clock."""
        names = keeper_names(state, self._own)
        wanted = {item.key for item in proposals}
        self._wanted_s = {key: at_s for key, at_s in self._wanted_s.items() if key in wanted}
        self._passed_s = {key: at_s for key, at_s in self._passed_s.items() if key in wanted}
        return [item for item in proposals if self._passes(item, names, now_s)]

    def _passes(self, proposal: Proposal, names: list[str], now_s: float) -> bool:
        wanted_s = self._wanted_s.setdefault(proposal.key, now_s)
        wait_s = rank_of(self._own, names, proposal.subject) * self._settings.takeover_s
        passed_s = self._passed_s.get(proposal.key)
        is_under_way = passed_s is not None and now_s - passed_s < _REPEAT_S
        if now_s - wanted_s < wait_s or is_under_way:
            return False
        self._passed_s[proposal.key] = now_s
        return True
