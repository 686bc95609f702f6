"""Small deployment of real processes for the failure tests."""

import contextlib
import functools
import itertools
import signal
import time
from collections.abc import Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

from urllib3.exceptions import HTTPError

from almondstack.bench.caller import Caller, WorkItem
from almondstack.bench.deployment import Deployment, ExperimentError
from almondstack.bench.layout import DeploymentPlan
from almondstack.bench.outcome_check import (
    CallerEnd,
    CallerRecord,
    RecordedRun,
    check_outcomes,
    events_since,
    runs_of,
)
from almondstack.bench.processes import ProcessGroup, wait_until
from almondstack.bench.workload import demo_key
from almondstack.core import hash_secret, split_key
from almondstack.model import Configured, InstanceSpec, Key, Pool, Queue, ReleaseNote, Team
from almondstack.standin.log_service import LogFaults
from almondstack.standin.upstream_faults import UpstreamFaults

__all__ = ["SmallFleet", "make_small_note", "small_fleet", "small_work"]

_CALLERS = 16
_KEYS_PER_TEAM = 4
_RUN_TIME_BOUND_S = 3.0
_RECOVERY_TIMEOUT_S = 30.0


def make_small_note() -> ReleaseNote:
    """Return two pools over two zones, two teams with keys, and three queues."""
    places = [("u1", "score", "a"), ("u2", "score", "b"), ("u3", "score", "a"), ("p1", "pay", "a")]
    instances = tuple(
        InstanceSpec(
            name=name, pool=pool, zone=zone, rack=f"{zone}{name[1]}", address="127.0.0.1:1"
        )
        for name, pool, zone in places
    )
    keys = tuple(
        _key(team, number) for team in ("north", "south") for number in range(1, _KEYS_PER_TEAM + 1)
    )
    return ReleaseNote(
        added=Configured(
            pools=(
                Pool(name="score", min_serving=1, size=3, run_time_bound_s=_RUN_TIME_BOUND_S),
                Pool(name="pay", min_serving=1, size=1, run_time_bound_s=_RUN_TIME_BOUND_S),
            ),
            instances=instances,
            teams=(Team(name="north", share=2, ceiling=6), Team(name="south", share=1, ceiling=20)),
            keys=keys,
            queues=(
                Queue(name="scoring", pool="score", max_body_bytes=100_000),
                Queue(name="payments", pool="pay"),
                Queue(name="lookups", pool="score", is_open=True, open_team="south"),
            ),
        )
    )


def small_work(count: int) -> list[WorkItem]:
    """Return ``count`` short idempotent work items without request ids, for zone a."""
    return [
        WorkItem(
            work_id=f"s{number}",
            team="south",
            queue="scoring",
            zone="a",
            key=demo_key("south"),
            work_ms=1,
            has_id=False,
            is_idempotent=True,
        )
        for number in range(count)
    ]


class SmallFleet:
    """Running deployment of two zones with three entries and four upstreams, each a process.

    Parameters
    ----------
    deployment : Deployment
        The running deployment.
    group : ProcessGroup
        Processes of the deployment.
    """

    def __init__(self, deployment: Deployment, group: ProcessGroup) -> None:
        self._deployment = deployment
        self._group = group
        self._numbers = itertools.count(1)
        self._since_s = 0.0

    @property
    def deployment(self) -> Deployment:
        """The running deployment."""
        return self._deployment

    @property
    def group(self) -> ProcessGroup:
        """Processes of the deployment."""
        return self._group

    @property
    def upstreams(self) -> list[str]:
        """Names of the upstreams."""
        return [item.name for item in self._deployment.note.added.instances]

    def item(self, **fields: Any) -> WorkItem:
        """Return a work item with a new id, of team south unless ``fields`` say otherwise."""
        team = fields.get("team", "south")
        number = next(self._numbers)
        defaults = {
            "work_id": f"w{number}",
            "team": team,
            "queue": "scoring",
            "zone": "a",
            "key": demo_key(team),
            "deadline_ms": 2500,
            "is_idempotent": number % 2 == 0,
            "has_id": number % 3 == 0,
        }
        return WorkItem(**{**defaults, **fields})

    def submit(self, *items: WorkItem) -> list[CallerRecord]:
        """Submit work items, at most 16 concurrently, and return their outcomes in order."""
        caller = Caller(self._deployment.layout.entry_addresses)
        with ThreadPoolExecutor(_CALLERS) as executor:
            return list(executor.map(caller.submit, items))

    def submit_to(self, entry: str, item: WorkItem) -> CallerRecord:
        """Submit a work item to one entry and return its outcome."""
        address = self._deployment.layout.callers_address(entry)
        return Caller({item.zone: [address]}).submit(item)

    def runs(self, *work_ids: str) -> list[RecordedRun]:
        """Return the runs of the given work ids on all upstreams."""
        journals = self._deployment.journals()
        runs = [run for name, events in journals.items() for run in runs_of(name, events)]
        return [run for run in runs if run.work_id in work_ids]

    def wait_for_run(self, work_id: str) -> None:
        """Wait until a work item has started on an upstream."""
        wait_until(lambda: bool(self.runs(work_id)), f"run of {work_id}")

    def start_judging(self) -> None:
        """Exclude from :meth:`violations` the events before this call."""
        self._since_s = time.monotonic()

    def violations(self, records: Sequence[CallerRecord]) -> dict[str, int]:
        """Return the number of violations since :meth:`start_judging`, by kind."""
        journals = {
            name: events_since(events, self._since_s)
            for name, events in self._deployment.journals().items()
        }
        broken = self._deployment.platform_violations()
        return check_outcomes(records, journals, self._deployment.rules, broken).violations

    def restore(self) -> None:
        """Clear all faults, restart ended processes, and wait until all queues are served.

        Explanation
        -----------
        The permits of a killed entry are returned only after the run time bound of its
        work, so that other entries may lack permits for longer than a request waits.
        """
        for name in self._deployment.layout.entry_names:
            if not self._group.is_running(name):
                self._deployment.start_entry(name)
            self._group.signal(name, signal.SIGCONT)
        for name in self._deployment.layout.keeper_names:
            if not self._group.is_running(f"keeper-{name}"):
                self._deployment.start_keeper(name)
        for name in self.upstreams:
            if not self._group.is_running(f"upstream-{name}"):
                self._deployment.start_upstream(name)
            self._group.signal(f"upstream-{name}", signal.SIGCONT)
        self._deployment.set_log_faults(LogFaults())
        for name in self._deployment.layout.entry_names:
            self._deployment.wait_until_serving(name)
        for name in self.upstreams:
            wait_until(functools.partial(self._clear_faults, name), f"upstream {name}")
        for name in self._deployment.layout.entry_names:
            for queue in ("scoring", "payments"):
                is_answered = functools.partial(self._is_answered, name, queue)
                wait_until(is_answered, f"{queue} through {name}", _RECOVERY_TIMEOUT_S)

    def _is_answered(self, entry: str, queue: str) -> bool:
        zone = self._deployment.layout.zone_of(entry)
        item = self.item(queue=queue, zone=zone, has_id=False, is_idempotent=True)
        return self.submit_to(entry, item).end is CallerEnd.ANSWERED

    def _clear_faults(self, upstream: str) -> bool:
        try:
            self._deployment.set_upstream_faults(upstream, UpstreamFaults())
        except (HTTPError, ExperimentError):
            return False
        return True


@contextlib.contextmanager
def small_fleet(folder: Path, **fields: Any) -> Iterator[SmallFleet]:
    """Run a small fleet in ``folder`` until the context ends; ``fields`` override its plan."""
    note = make_small_note()
    defaults: dict[str, Any] = {
        "note": note,
        "entries": {"a": 2, "b": 1},
        "keepers": 1,
        "own_process": tuple(item.name for item in note.added.instances),
        "keeper_sections": {
            "round_s": 0.2,
            "fleet": {"return_bound_s": 0.5, "takeover_s": 0.5, "loss_pause_s": 1.0},
        },
        "callers": {"threads": 64, "head_timeout_s": 1.0, "body_timeout_s": 1.0},
    }
    plan = DeploymentPlan(**{**defaults, **fields})
    with ProcessGroup(folder) as group:
        deployment = Deployment(plan, folder, group)
        deployment.start()
        yield SmallFleet(deployment, group)


def _key(team: str, number: int) -> Key:
    key_id, secret = split_key(demo_key(team, number))
    return Key(id=key_id, team=team, digest=hash_secret(secret))
