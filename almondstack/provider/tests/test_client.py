"""Tests of the platform client: acts are performed once, fenced, and time-limited."""

import contextlib
import threading

import pytest
import urllib3

from almondstack.core import LocalMetrics, encode_json
from almondstack.provider import (
    Act,
    ActExpiredError,
    ActKind,
    ActReplyLostError,
    ActSupersededError,
    HttpPlatform,
    PlatformSettings,
    PlatformTask,
    PlatformUnavailableError,
)
from almondstack.standin.platform import PlatformFaults, PlatformStandin
from almondstack.standin.platform_fleet import FleetFaults, FleetSetup, Machine
from almondstack.standin.platform_recount import PoolBudget
from almondstack.standin.web import serve
from almondstack.testing.addresses import free_address


class _Platform:
    def __init__(self, address):
        self.address = address
        self.metrics = LocalMetrics()
        settings = PlatformSettings(address=address, list_address=address, timeout_s=1.0)
        self.client = HttpPlatform(settings, self.metrics)
        self._pool = urllib3.PoolManager(retries=False)

    def control(self, section, body):
        url = f"http://{self.address}/control/{section}"
        return self._pool.request("POST", url, body=encode_json(body)).json()

    def recount(self):
        return self._pool.request("GET", f"http://{self.address}/control/recount").json()


@contextlib.contextmanager
def _platform():
    server = serve(PlatformStandin(), address := free_address(), threads=4)
    threading.Thread(target=server.serve, daemon=True).start()
    platform = _Platform(address)
    machines = tuple(Machine(name=name, pool="score") for name in ("u1", "u2"))
    tasks = (PlatformTask(id="t1", instance="u1", team="north"),)
    budgets = (PoolBudget(name="score", min_serving=1),)
    platform.control("fleet", FleetSetup(pools=budgets, instances=machines, tasks=tasks))
    platform.control("faults", PlatformFaults(fleet=FleetFaults(drain_s=0.0, reboot_s=0.0)))
    try:
        yield platform
    finally:
        server.stop()


def _act(kind, order, **fields):
    return Act(id=f"u1@{order}", target="u1", kind=kind, order=order, **fields)


def test_repeat_after_a_lost_reply_does_not_reboot_again():
    with _platform() as platform:
        platform.client.ensure(_act(ActKind.DRAIN, 5))
        faults = PlatformFaults(drop_replies=1, fleet=FleetFaults(drain_s=0.0, reboot_s=0.0))
        platform.control("faults", faults)
        with pytest.raises(ActReplyLostError):
            platform.client.ensure(_act(ActKind.REBOOT, 6))
        assert platform.client.ensure(_act(ActKind.REBOOT, 6)).is_done
        recount = platform.recount()
        assert recount["reboots"]["u1"] == 1
        assert recount["violations"] == []
        assert platform.metrics.total("platform.reply-lost") == 1


def test_act_sent_by_two_clients_is_performed_once():
    with _platform() as platform:
        platform.client.ensure(_act(ActKind.DRAIN, 5))
        platform.client.ensure(_act(ActKind.REBOOT, 6))
        other = _Platform(platform.address)
        other.client.ensure(_act(ActKind.REBOOT, 6))
        assert platform.recount()["reboots"]["u1"] == 1


def test_act_of_an_outdated_step_is_rejected():
    with _platform() as platform:
        platform.client.ensure(_act(ActKind.RESUME, 9))
        with pytest.raises(ActSupersededError):
            platform.client.ensure(_act(ActKind.DRAIN, 5))
        assert platform.recount()["available"] == {"score": 2}


def test_act_after_its_lease_is_rejected():
    with _platform() as platform:
        now_s = platform.client.usage().now_s
        with pytest.raises(ActExpiredError):
            platform.client.ensure(_act(ActKind.DRAIN, 5, expires_s=now_s - 1.0))
        assert platform.recount()["available"] == {"score": 2}


def test_outage_raises_unavailable_and_no_act_is_performed():
    with _platform() as platform:
        platform.control("faults", PlatformFaults(is_down=True))
        with pytest.raises(PlatformUnavailableError):
            platform.client.ensure(_act(ActKind.DRAIN, 5))
        with pytest.raises(PlatformUnavailableError):
            platform.client.usage()
        assert platform.recount()["available"] == {"score": 2}


def test_lease_of_a_task_has_one_holder():
    with _platform() as platform:
        platform.client.renew_lease("t1", "k1", 60.0)
        platform.client.renew_lease("t1", "k1", 60.0)
        with pytest.raises(ActSupersededError):
            platform.client.renew_lease("t1", "k2", 60.0)


def test_recount_reports_a_broken_budget_and_an_undrained_reboot():
    with _platform() as platform:
        platform.client.ensure(_act(ActKind.DRAIN, 5))
        for kind, order in ((ActKind.REBOOT, 6), (ActKind.DRAIN, 7)):
            act = Act(id=f"u2@{order}", target="u2", kind=kind, order=order)
            platform.client.ensure(act)
        rules = [item["rule"] for item in platform.recount()["violations"]]
        assert rules == ["not-drained", "budget"]
