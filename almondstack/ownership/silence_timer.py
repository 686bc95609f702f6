"""Measures for how long no record of the owner has been read."""

__all__ = ["SilenceTimer"]


class SilenceTimer:
    """Measures the owner's silence in successful reads.

    Explanation
    -----------
    Only observed silence counts: a failed read shows nothing about the owner, so the timer
    restarts at the next successful read.  So an outage of the store does not make a process
    take over.

    Parameters
    ----------
    silence_s : float
        Observed silence after which the timer expires, in seconds.

    Examples
    --------
    >>> silence_timer = SilenceTimer(silence_s=2.0)
    >>> silence_timer.note_read(10.0, has_owner_record=True)
    >>> silence_timer.note_read(11.9, has_owner_record=False)
    >>> silence_timer.is_expired(11.9), silence_timer.is_expired(12.1)
    (False, True)
    >>> silence_timer.note_failure()
    >>> silence_timer.is_expired(20.0)
    False
    >>> silence_timer.note_read(20.0, has_owner_record=False)
    >>> silence_timer.is_expired(21.0)
    False
    """

    __slots__ = ("_is_released", "_silence_s", "_since_s")

    def __init__(self, silence_s: float) -> None:
        self._silence_s = silence_s
        self._since_s: float | None = None
        self._is_released = False

    def note_read(self, now_s: float, *, has_owner_record: bool) -> None:
        """Note a successful read, and whether it returned a record of the owner."""
        if has_owner_record:
            self._is_released = False
        if has_owner_record or self._since_s is None:
            self._since_s = now_s

    def note_failure(self) -> None:
        """Note that a read failed."""
        self._since_s = None

    def note_release(self) -> None:
        """Note that the owner has released the jobs."""
        self._is_released = True

    @property
    def is_measuring(self) -> bool:
        """Whether a read has succeeded since the last one that failed."""
        return self._since_s is not None

    def has_lasted(self, now_s: float, for_s: float) -> bool:
        """Whether the owner has been silent for ``for_s`` seconds of successful reads."""
        return self._since_s is not None and now_s - self._since_s >= for_s

    def remaining_s(self, now_s: float, for_s: float) -> float:
        """Return how much longer the silence has to last until it is ``for_s`` seconds long.

        Explanation
        -----------
        Negative once it has lasted longer; ``for_s`` while no silence is being measured.
        """
        return for_s if self._since_s is None else self._since_s + for_s - now_s

    def is_expired(self, now_s: float) -> bool:
        """Whether the owner has released the jobs, or has been silent for ``silence_s``."""
        if self._since_s is None:
            return False
        return self._is_released or now_s - self._since_s >= self._silence_s
