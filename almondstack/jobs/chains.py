"""Lengths of the chains of steps of a job."""

from collections.abc import Sequence

from almondstack.jobs.model import Step

__all__ = ["chain_lengths_ms"]


def chain_lengths_ms(
    steps: tuple[Step, ...], task_ms: Sequence[float] | None = None
) -> list[float]:
    """Return, for each step, the milliseconds of the longest chain that starts with it.

    Parameters
    ----------
    steps : tuple of Step
        The steps of a job.
    task_ms : sequence of float, optional
        Time of a task of each step, in milliseconds; by default as declared.

    Examples
    --------
    >>> from almondstack.jobs import Step
    >>> chain_lengths_ms((Step(1, estimate_ms=100), Step(1, estimate_ms=50, after=(0,))))
    [150.0, 50.0]
    """
    if task_ms is None:
        task_ms = [step.estimate_ms for step in steps]
    lengths = [0.0] * len(steps)
    for number in reversed(range(len(steps))):
        lengths[number] += task_ms[number]
        for earlier in steps[number].after:
            lengths[earlier] = max(lengths[earlier], lengths[number])
    return lengths
