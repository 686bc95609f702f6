"""Which of several live processes should own the jobs."""

from almondstack.jobs import OwnerNotice
from almondstack.ownership.settings import OwnershipSettings

__all__ = ["Preference", "instance_of"]

_STANDBY_ANSWERS = 3
"""Answers that a standby needs for its claim: it reads, claims, and reads the claim."""

_CLEARLY_FASTER = 1.5
"""Factor between two processors from which on a take-over, which costs a pause, is worth it."""


def instance_of(incarnation: str) -> str:
    """Return the instance that an incarnation names.

    Examples
    --------
    >>> instance_of("edge-a-1/5f")
    'edge-a-1'
    """
    return incarnation.rpartition("/")[0]


class Preference:
    """Lets the fastest processors own the jobs, where instances differ.

    Explanation
    -----------
    The owner does nearly all the work, so on a slow processor each decision
    comes late.  A process that has read of a clearly faster one leaves it the
    first chance to claim; a clearly faster one takes over from a slower owner
    once it has heard the store well for a while.

    Parameters
    ----------
    cores : float
        Speed of this process's processor, in cores.
    settings : OwnershipSettings
        Times.
    instance : str
        Name of this process's instance.

    Examples
    --------
    >>> preference = Preference(0.5, OwnershipSettings(slower_waits_s=0.5))
    >>> preference.may_claim(10.0, is_vacant=True)
    True
    >>> preference.note_notice(OwnerNotice("a/1", 1, cores=2.0), 11.0)
    >>> preference.may_claim(19.0, is_vacant=False)
    False
    >>> preference.may_claim(20.0, is_vacant=True), preference.may_claim(20.6, is_vacant=True)
    (False, True)

    Where the owner has named a standby, all others leave it the first claim, unless they
    have only just started, as all may have who died together:

    >>> preference.note_notice(OwnerNotice("a/1", 1, cores=0.5, standby="b/1"), 30.0)
    >>> preference.may_claim(31.0, is_vacant=False)
    False
    >>> preference.may_claim(32.0, is_vacant=True), preference.may_claim(33.0, is_vacant=True)
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
        if self._notice is None or self._notice.token != notice.token:
            self._noticed_s = now_s
        self._notice = notice

    def note_failure(self, now_s: float) -> None:
        """Note that the store did not answer as it should."""
        self._failed_s = now_s

    @property
    def is_standby(self) -> bool:
        """Whether the owner has named this instance to own the jobs next."""
        standby = self._notice.standby if self._notice is not None else ""
        return bool(standby) and instance_of(standby) == self._instance

    def may_claim(
        self, now_s: float, *, is_vacant: bool, is_new: bool = False, answer_s: float = 0.0
    ) -> bool:
        """Whether to claim jobs that nobody owns.

        Parameters
        ----------
        now_s : float
            Present monotonic time in seconds.
        is_vacant : bool
            Nobody owns the jobs.
        is_new : bool
            This process has only just started.
        answer_s : float
            How long a slow store takes for an answer, in seconds.
        """
        if not is_vacant:
            self._vacant_s = None
            return False
        if self._vacant_s is None:
            self._vacant_s = now_s
        if self.is_standby:
            return True
        if not is_new and self._notice is not None and self._notice.standby:
            patience_s = self._settings.standby_waits_s + _STANDBY_ANSWERS * answer_s
            if now_s - self._vacant_s < patience_s:
                return False
        if self._fastest < _CLEARLY_FASTER * self._cores:
            return True
        return now_s - self._vacant_s >= self._settings.slower_waits_s

    def is_better(self, now_s: float) -> bool:
        """Whether to take the jobs over from a slower owner that lives."""
        notice = self._notice
        if notice is None or not notice.owner or not notice.cores:
            return False
        if self._cores < _CLEARLY_FASTER * notice.cores:
            return False
        since_s = (
            self._noticed_s if self._failed_s is None else max(self._noticed_s, self._failed_s)
        )
        return now_s - since_s >= self._settings.faster_waits_s
