"""Creates, starts and stops the parts of at-most-once execution."""

from almondstack.at_most_once.claims import ClaimManager
from almondstack.at_most_once.follower import ClaimFollower
from almondstack.at_most_once.guard import OnceGuard
from almondstack.at_most_once.settings import OnceSettings
from almondstack.at_most_once.table import ClaimTable
from almondstack.at_most_once.tickets import TicketIssuer
from almondstack.core import Clock, LocalMetrics
from almondstack.log import LogClient

__all__ = ["OnceService"]


class OnceService:
    """Claims and tickets of one incarnation.

    Parameters
    ----------
    client : LogClient
        The log service.
    incarnation : str
        Name of this incarnation of the process.
    settings : OnceSettings
        Window, limits and lifetimes.
    clock : Clock
        Checks the ages of ids and tickets.
    metrics : LocalMetrics
        Counts claims and failures.
    """

    __slots__ = ("_claims", "_follower", "_guard")

    def __init__(
        self,
        client: LogClient,
        incarnation: str,
        settings: OnceSettings,
        clock: Clock,
        metrics: LocalMetrics,
    ) -> None:
        window_ms = int(settings.window_s * 1000)
        table = ClaimTable(window_ms, int(settings.clock_error_s * 1000))
        self._claims = ClaimManager(client, incarnation, table, settings, clock, metrics)
        self._follower = ClaimFollower(
            client, table, self._claims.handle_batch, settings, clock, metrics
        )
        self._guard = OnceGuard(self._claims, TicketIssuer(incarnation, settings, clock))

    @property
    def guard(self) -> OnceGuard:
        """Guard that grants the right to run a request."""
        return self._guard

    @property
    def follower(self) -> ClaimFollower:
        """Follower that reads the claims stream."""
        return self._follower

    def start(self) -> None:
        """Start the threads that append and read claims."""
        self._claims.start()
        self._follower.start()

    def stop(self) -> None:
        """Stop both threads."""
        self._claims.stop()
        self._follower.stop()
