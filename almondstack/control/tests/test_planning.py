"""When the planner places nothing."""

import time

from almondstack.control.planning import Planner
from almondstack.placement import AccountPolicy, Policies, Resources
from almondstack.testing.job_builders import (
    AllowAllAdvisor,
    make_entitlements,
    make_job,
    make_policy,
    make_step,
    make_table,
    make_worker,
)


def test_nothing_starts_before_the_first_configuration():
    """Guards against a new owner that starts work above a ceiling that it does not know yet."""
    known = [Policies()]
    job = make_job(make_step(4), pool="p")
    table = make_table(job, workers=(make_worker(),))
    planner = Planner(table, AllowAllAdvisor(), lambda: known[0])
    assert planner.plan(1.0, time.time() * 1000) == []
    account = AccountPolicy("a", ceiling=Resources(2_000))
    known[0] = Policies(3, {"q": make_policy()}, {"a": account})
    assert len(planner.plan(1.1, time.time() * 1000)) == 2


def test_shortage_what_a_round_starts_in_one_pool_counts_in_the_next():
    """Guards against an account that starts its whole entitlement in each pool in one round."""
    queues = {"q": make_policy(), "r": make_policy(name="r", pool="other")}
    now_ms = time.time() * 1000
    jobs = [
        make_job(make_step(4), id="1", account="flood", pool="p", accepted_ms=int(now_ms)),
        make_job(id="2", account="flood", queue="r", pool="other", accepted_ms=int(now_ms) - 9),
        make_job(id="3", account="light", queue="r", pool="other", accepted_ms=int(now_ms)),
    ]
    workers = (make_worker("w1"), make_worker("w2", pool="other", cpu_millis=1_000))
    table = make_table(*jobs, workers=workers)
    planner = Planner(table, AllowAllAdvisor(), lambda: Policies(1, queues, {}))
    planner.entitlements = make_entitlements({"flood": 3_500}, {"flood": 9_000, "light": 1_000})
    started = planner.plan(1.0, now_ms)
    assert [task.job.id for task in started] == ["1"] * 4 + ["3"]
