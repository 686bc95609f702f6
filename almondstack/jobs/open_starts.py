"""Starts of a task's earlier runs that workers may still carry out."""

__all__ = ["OpenStarts"]


class OpenStarts:
    """The workers that may yet carry out a start of an earlier run of a task.

    Explanation
    -----------
    A start without an answer may be carried out seconds later, after the owner has given its
    run up.  The life of the worker that has stopped the run, or has listed its end, rejects
    the start; a later life under the same id knows of neither.

    Examples
    --------
    >>> starts = OpenStarts()
    >>> bool(starts), starts.workers(now_s=100.0)
    (False, frozenset())
    >>> starts.note("w1", until_s=113.0)
    >>> starts.note("w1", until_s=112.0)
    >>> starts.workers(now_s=112.5), starts.workers(now_s=113.0)
    (frozenset({'w1'}), frozenset())
    >>> starts.may_arrive("w1", now_s=112.5), starts.may_arrive("w2", now_s=112.5)
    (True, False)
    >>> starts.forget_past(now_s=113.0)
    >>> starts.noted
    ()
    """

    __slots__ = ("_until_s",)

    def __init__(self) -> None:
        self._until_s: dict[str, float] = {}

    def __bool__(self) -> bool:
        return bool(self._until_s)

    @property
    def noted(self) -> tuple[str, ...]:
        """All workers noted and not forgotten, in the order of their ids, for the task's record."""
        return tuple(sorted(self._until_s))

    def note(self, worker: str, until_s: float) -> None:
        """Note that a worker may carry a start out until a monotonic time in seconds."""
        self._until_s[worker] = max(until_s, self._until_s.get(worker, 0.0))

    def forget_past(self, now_s: float) -> None:
        """Forget the starts that can't be carried out any more."""
        if self._until_s:
            self._until_s = {
                worker: until_s for worker, until_s in self._until_s.items() if until_s > now_s
            }

    def bound(self, until_s: float) -> None:
        """Replace the times by a monotonic time in seconds where they are later."""
        self._until_s = {worker: min(until_s, known) for worker, known in self._until_s.items()}

    def may_arrive(self, worker: str, now_s: float) -> bool:
        """Whether a worker may still carry out a start of an earlier run."""
        return now_s < self._until_s.get(worker, 0.0)

    def workers(self, now_s: float) -> frozenset[str]:
        """Return the workers that may still carry out a start of an earlier run."""
        return frozenset(worker for worker in self._until_s if self.may_arrive(worker, now_s))
