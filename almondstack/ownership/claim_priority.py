"""Decides which of several live processes should claim ownership of the jobs first."""

from almondstack.jobs import OwnerNotice
from almondstack.ownership.settings import OwnershipSettings

__all__ = ["ClaimPriority", "instance_of"]

_STANDBY_ANSWERS = 3
"""Store answers that a standby needs for a claim: a read, the claim, and a read of the claim."""

_MIN_SPEED_RATIO = 1.5
"""Least ratio of two processor speeds that justifies the pause which a take-over causes."""


def instance_of(incarnation: str) -> str:
    """Return the name of the instance that is part of an incarnation.

    Examples
    --------
    >>> instance_of("edge-a-1/5f")
    'edge-a-1'
    """
    return incarnation.rpartition("/")[0]


class ClaimPriority:
    """Gives instances with faster processors priority to own the jobs.

    Explanation
    -----------
    The owner does nearly all the work, so that on a slow processor each decision is
    late.  A process delays its claim if a notice has shown a clearly faster process.  A
    clearly faster process takes over from a slower owner after it has read the store
    without a failure for ``faster_waits_s``.

    Parameters
    ----------
    cores : float
        Speed of this process's processor, in cores.
    settings : OwnershipSettings
        Delays of claims.
    instance : str
        Name of this process's instance.

    Examples
    --------
    >>> priority = ClaimPriority(0.5, OwnershipSettings(slower_waits_s=0.5))
    >>> priority.may_claim(10.0, is_vacant=True)
    True
    >>> priority.note_notice(OwnerNotice("a/1", 1, cores=2.0), 11.0)
    >>> priority.may_claim(19.0, is_vacant=False)
    False
    >>> priority.may_claim(20.0, is_vacant=True), priority.may_claim(20.6, is_vacant=True)
    (False, True)

    If the owner has named a standby, all other processes delay their claims in its favour.
    Processes that have just started don't, since the standby may have crashed with the owner:

    >>> priority.note_notice(OwnerNotice("a/1", 1, cores=0.5, standby="b/1"), 30.0)
    >>> priority.may_claim(31.0, is_vacant=False)
    False
    >>> priority.may_claim(32.0, is_vacant=True), priority.may_claim(33.0, is_vacant=True)
    (False, True)
    """

    __slots__ = (
        "_cores",
        "_failed_s",
        "_fastest",
        "_instance",
        "_notice",
        "_noticed_s",
        "_settings",
        "_vacant_s",
    )

    def __init__(self, cores: float, settings: OwnershipSettings, instance: str = "") -> None:
        self._cores = cores
        self._settings = settings
        self._instance = instance
        self._fastest = cores
        self._notice: OwnerNotice | None = None
        self._noticed_s = 0.0
        self._failed_s: float | None = None
        self._vacant_s: float | None = None

    def note_notice(self, notice: OwnerNotice, now_s: float) -> None:
        """Take the owner's newest notice into account."""
        self._fastest = max(self._fastest, notice.cores)
        # An owner may raise its own token.
        if self._notice is None or self._notice.owner != notice.owner:
            self._noticed_s = now_s
        self._notice = notice

    def note_failure(self, now_s: float) -> None:
        """Note that the store failed or gave a malformed answer."""
        self._failed_s = now_s

    @property
    def is_standby(self) -> bool:
        """Whether the owner has named this instance to own the jobs next."""
        standby = self._notice.standby if self._notice is not None else ""
        return bool(standby) and instance_of(standby) == self._instance

    def may_claim(
        self, now_s: float, *, is_vacant: bool, is_new: bool = False, answer_s: float = 0.0
    ) -> bool:
        """Whether this process should claim ownership now.

        Parameters
        ----------
        now_s : float
            Present monotonic time in seconds.
        is_vacant : bool
            No process owns the jobs.
        is_new : bool
            This process has just started.
        answer_s : float
            Answer time of a slow store, in seconds; 0 if the store is not slow.
        """
        if not is_vacant:
            self._vacant_s = None
            return False
        if self._vacant_s is None:
            self._vacant_s = now_s
        if self.is_standby:
            return True
        if not is_new and self._notice is not None and self._notice.standby:
            wait_s = self._settings.standby_waits_s + _STANDBY_ANSWERS * answer_s
            if now_s - self._vacant_s < wait_s:
                return False
        if self._fastest < _MIN_SPEED_RATIO * self._cores:
            return True
        return now_s - self._vacant_s >= self._settings.slower_waits_s

    def should_preempt(self, now_s: float) -> bool:
        """Whether to take over from a slower owner although it is alive."""
        notice = self._notice
        if notice is None or not notice.owner or not notice.cores:
            return False
        if self._cores < _MIN_SPEED_RATIO * notice.cores:
            return False
        since_s = (
            self._noticed_s if self._failed_s is None else max(self._noticed_s, self._failed_s)
        )
        return now_s - since_s >= self._settings.faster_waits_s
