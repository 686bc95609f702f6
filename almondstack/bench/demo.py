"""``almondstack-bench demo``: runs a complete local deployment and injects faults."""

import argparse
import json
import tempfile
from pathlib import Path

import msgspec

from almondstack.bench.caller import Caller
from almondstack.bench.commands import bench_command
from almondstack.bench.deployment import Deployment
from almondstack.bench.layout import DeploymentPlan, load_note
from almondstack.bench.mixes import EXAMPLES, MIXES
from almondstack.bench.outcome_check import OutcomeCounts
from almondstack.bench.processes import ProcessGroup
from almondstack.bench.report import team_table
from almondstack.bench.sending import Step, send_all
from almondstack.bench.workload import arrivals
from almondstack.standin.log_service import LogFaults

__all__ = ["run_demo"]

_SEED = 20261203
_KILLED_UPSTREAMS = {"magnolia": "score-1", "lagos": "validate-1"}
_REVOKED_KEYS = {"magnolia": "gulf-haulers-2", "lagos": "small-publishers-2"}
_KILL_UPSTREAM_S = 3.0
_REPLACE_ENTRY_S = 6.0
_LOG_DOWN_S = 10.0
_LOG_UP_S = 14.0
_REVOKE_KEY_S = 15.5


def _configure(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--deployment", choices=sorted(MIXES), default="magnolia")
    parser.add_argument("--seed", type=int, default=_SEED)
    parser.add_argument("--scale", type=float, default=1.0, help="multiplies the rate")
    parser.add_argument("--keep", type=Path, help="folder that keeps settings, output, journals")


@bench_command("demo", "the whole path on this machine, with faults, in half a minute", _configure)
def run_demo(arguments: argparse.Namespace) -> int:
    """Run the demo; return 1 if a rule was violated."""
    if arguments.keep is not None:
        arguments.keep.mkdir(parents=True)
        return _run_in(arguments.keep, arguments)
    with tempfile.TemporaryDirectory() as folder:
        return _run_in(Path(folder), arguments)


def _run_in(folder: Path, arguments: argparse.Namespace) -> int:
    name = arguments.deployment
    plan = DeploymentPlan(
        note=load_note(EXAMPLES / f"{name}.json"), own_process=(_KILLED_UPSTREAMS[name],)
    )
    mix = MIXES[name](arguments.scale)
    with ProcessGroup(folder) as group:
        deployment = Deployment(plan, folder, group)
        print(f"Starting {name}: three zones of entries, keepers and upstreams.", flush=True)
        deployment.start()
        items = arrivals(mix, deployment.note, list(plan.entries), arguments.seed)
        caller = Caller(deployment.layout.entry_addresses)
        records = send_all(caller, items, _steps(deployment, name), "demo")
        deployment.check_running()
        journals = deployment.journals()
        outcomes = deployment.check_outcomes(records)
    print(team_table(deployment.note, records, journals))
    print(json.dumps(msgspec.to_builtins(outcomes)))
    return _exit_code(outcomes)


def _steps(deployment: Deployment, name: str) -> list[Step]:
    upstream, key_id = _KILLED_UPSTREAMS[name], _REVOKED_KEYS[name]
    entry = deployment.layout.entry_names[0]
    log_down, log_up = LogFaults(is_down=True), LogFaults()
    return [
        Step(
            _KILL_UPSTREAM_S,
            f"Upstream {upstream} is killed.",
            lambda: deployment.kill_upstream(upstream),
        ),
        Step(
            _REPLACE_ENTRY_S, f"Entry {entry} is replaced.", lambda: deployment.replace_entry(entry)
        ),
        Step(_LOG_DOWN_S, "The log falls silent.", lambda: deployment.set_log_faults(log_down)),
        Step(_LOG_UP_S, "The log is back.", lambda: deployment.set_log_faults(log_up)),
        Step(_REVOKE_KEY_S, f"Key {key_id} is revoked.", lambda: deployment.revoke_key(key_id)),
    ]


def _exit_code(outcomes: OutcomeCounts) -> int:
    return 0 if outcomes.is_clean else 1
