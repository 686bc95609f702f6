"""Answers of workers that reach the inbox of a simulated owner late."""

import contextlib
from collections import deque
from collections.abc import Callable, Iterator
from typing import NamedTuple

from almondstack.control.messages import PollAnswered, PollFailed
from almondstack.testing.pumped_session import PumpedSession

__all__ = ["LateAnswers"]

_MAX_DELAY_S = 3.0
"""Longest time between an answer and its place in the inbox, in seconds: a poll waits that long."""


class _Late(NamedTuple):
    """An event of a session that is under way to the inbox since a monotonic time in seconds."""

    event: object
    post: Callable[[object], None]
    since_s: float


class LateAnswers:
    """Events that sessions have posted and the owner has not received.

    Explanation
    -----------
    The thread that polls a worker makes its next call once it has posted the answer to the
    last one, so there are no polls of a session while one of its answers is under way.
    Orders may go over further connections.

    Parameters
    ----------
    now_s : callable
        Returns the monotonic time in seconds.
    """

    def __init__(self, now_s: Callable[[], float]) -> None:
        self._now_s = now_s
        self._late: deque[_Late] = deque()

    @contextlib.contextmanager
    def held_back(self, session: PumpedSession) -> Iterator[None]:
        """Hold back the answers that a session gets meanwhile."""
        inbox = session.post
        with session.posting_to(
            lambda event: self._late.append(_Late(event, inbox, self._now_s()))
        ):
            yield

    def has_poll_of(self, session: PumpedSession) -> bool:
        """Whether the answer to a session's last poll is under way."""
        return any(
            isinstance(late.event, PollAnswered | PollFailed)
            and late.event.worker is session.worker
            for late in self._late
        )

    def deliver(self) -> None:
        """Deliver all answers."""
        while self._late:
            late = self._late.popleft()
            late.post(late.event)

    def deliver_overdue(self) -> None:
        """Deliver the answers that can't be under way any longer."""
        while self._late and self._now_s() - self._late[0].since_s > _MAX_DELAY_S:
            late = self._late.popleft()
            late.post(late.event)
