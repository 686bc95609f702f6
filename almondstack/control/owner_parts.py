"""The parts of one owner, and how they are connected."""

from collections.abc import Callable

from almondstack.control.advisor import Advisor
from almondstack.control.delay_recorder import DelayRecorder
from almondstack.control.fleet_controller import FleetController
from almondstack.control.interference_monitor import InterferenceMonitor
from almondstack.control.job_records import JobRecords
from almondstack.control.journal import OwnerJournal
from almondstack.control.pacing import Pacing
from almondstack.control.planning import Planner
from almondstack.control.request_handler import RequestHandler
from almondstack.control.run_orders import RunOrders
from almondstack.control.services import OwnerServices
from almondstack.control.sessions import SessionTable
from almondstack.control.stall_detector import StallDetector

__all__ = ["OwnerParts"]


class OwnerParts:
    """What an owner consists of, from its journal to the pacing of its tasks.

    Parameters
    ----------
    services : OwnerServices
        Services and settings that the owner uses.
    journal : OwnerJournal
        Appends of this owner.
    token : int
        Fencing token of this ownership.
    post : callable
        Takes the events that sessions post.
    previous_extension_s : float
        Monotonic time until which the previous owner may have extended leases, in seconds.
    """

    __slots__ = (
        "advisor",
        "delays",
        "fleet",
        "journal",
        "orders",
        "pacing",
        "planner",
        "previous_extension_s",
        "records",
        "requests",
        "services",
        "sessions",
        "stalls",
        "table",
    )

    def __init__(
        self,
        services: OwnerServices,
        journal: OwnerJournal,
        token: int,
        post: Callable[[object], None],
        previous_extension_s: float,
    ) -> None:
        self.services = services
        self.journal = journal
        self.previous_extension_s = previous_extension_s
        self.sessions = SessionTable(
            services, token, post, journal.may_extend, previous_extension_s
        )
        self.advisor = Advisor(services)
        self.orders = RunOrders(services, self.sessions, self.advisor)
        self.table = self.orders.table
        monitor = InterferenceMonitor(events=services.events, metrics=services.metrics)
        self.planner = Planner(
            self.table,
            self.advisor,
            services.policies,
            services.directory.evacuated_zones,
            monitor.interference,
        )
        self.records = JobRecords(services, self.planner)
        self.requests = RequestHandler(services, self.planner)
        self.fleet = FleetController(self.table, self.planner, services, token, journal.may_extend)
        self.stalls = StallDetector(
            self.table,
            self.planner,
            self.fleet.run_times,
            self.fleet.speed_monitor.speeds,
            services.control.stop_s,
            services.events,
        )
        self.delays = DelayRecorder(
            self.table.delays, self.planner, self.fleet, services.events, services.metrics
        )
        self.table.set_job_end_listener(self.delays.note_job_end)
        self.pacing = Pacing(self.table, self.sessions, monitor)

    def close(self) -> None:
        """Answer all open requests, accept no more, and end all calls to workers."""
        self.requests.close()
        self.services.requests.close()
        self.journal.close()
        self.services.index.set_listener(None)
        self.fleet.close()
        self.advisor.close()
        self.sessions.close()
