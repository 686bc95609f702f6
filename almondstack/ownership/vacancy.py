"""When the jobs may be taken over from an owner that is silent."""

__all__ = ["Vacancy"]


class Vacancy:
    """Judges from successful reads whether the owner is gone.

    Explanation
    -----------
    Only silence that was observed counts: a read that fails says nothing of
    the owner, so the time begins anew with the first read that works again.
    That way an outage of the store lets nobody take over.

    Parameters
    ----------
    silence_s : float
        Seconds of observed silence after which the owner counts as gone.

    Examples
    --------
    >>> vacancy = Vacancy(silence_s=2.0)
    >>> vacancy.note_read(10.0, has_sign=True)
    >>> vacancy.note_read(11.9, has_sign=False)
    >>> vacancy.is_open(11.9), vacancy.is_open(12.1)
    (False, True)
    >>> vacancy.note_failure()
    >>> vacancy.is_open(20.0)
    False
    >>> vacancy.note_read(20.0, has_sign=False)
    >>> vacancy.is_open(21.0)
    False
    """

    __slots__ = ("_is_released", "_since_s", "_silence_s")

    def __init__(self, silence_s: float) -> None:
        self._silence_s = silence_s
        self._since_s: float | None = None
        self._is_released = False

    def note_read(self, now_s: float, *, has_sign: bool) -> None:
        """Note a read that worked, and whether it brought a record of the owner."""
        if has_sign:
            self._is_released = False
        if has_sign or self._since_s is None:
            self._since_s = now_s

    def note_failure(self) -> None:
        """Note that a read failed."""
        self._since_s = None

    def note_release(self) -> None:
        """Note that the owner has given its jobs back."""
        self._is_released = True

    def is_doubtful(self, now_s: float, doubt_s: float) -> bool:
        """Whether the owner was silent for ``doubt_s`` seconds of reads that work."""
        return self._since_s is not None and now_s - self._since_s >= doubt_s

    def is_open(self, now_s: float) -> bool:
        """Whether a process that has read everything may claim ownership."""
        if self._since_s is None:
            return False
        return self._is_released or now_s - self._since_s >= self._silence_s
