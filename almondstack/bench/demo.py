"""``almondstack-bench demo``: the whole path on this machine."""

import argparse
import json
import tempfile
from pathlib import Path

import urllib3

from almondstack.bench.commands import bench_command
from almondstack.bench.processes import ProcessGroup, wait_until_ready

__all__ = ["run_demo"]

_LOG = "127.0.0.1:17001"
_ENTRY = "127.0.0.1:17101"
_UPSTREAM = "127.0.0.1:18001"


@bench_command("demo", "the whole path on this machine")
def run_demo(_arguments: argparse.Namespace) -> int:
    """Apply a release note and send requests; 0 if each was answered."""
    with tempfile.TemporaryDirectory() as folder, ProcessGroup(Path(folder)) as group:
        path = Path(folder)
        group.start("log", "almondstack.standin.main", "log", "--listen", _LOG)
        group.start("u1", "almondstack.standin.main", "upstream", "--listen", _UPSTREAM)
        wait_until_ready(f"http://{_LOG}/v1/streams/fleet/bounds")
        (path / "entry.json").write_text(json.dumps(_entry_settings()))
        (path / "note.json").write_text(json.dumps(_note()))
        group.start("entry", "almondstack.entry.main", "--settings", str(path / "entry.json"))
        group.start("ctl", "almondstack.ctl.main", "--log", _LOG, "apply", str(path / "note.json"))
        assert group.wait("ctl") == 0, (path / "ctl.log").read_text()
        wait_until_ready(f"http://{_ENTRY}/readyz")
        counts = _send(50)
    print(json.dumps(counts))
    return 0 if counts["answered"] == counts["requests"] else 1


def _entry_settings() -> dict[str, object]:
    return {
        "node": {"deployment": "demo", "name": "e1", "zone": "a"},
        "callers": {"listen": _ENTRY, "threads": 32},
        "log": {"address": _LOG},
    }


def _note() -> dict[str, object]:
    instance = {"name": "u1", "pool": "score", "zone": "a", "rack": "a1", "address": _UPSTREAM}
    return {
        "added": {
            "pools": [{"name": "score", "min_serving": 1, "size": 1}],
            "instances": [instance],
            "teams": [{"name": "north", "share": 1, "ceiling": 8}],
            "queues": [{"name": "open", "pool": "score", "is_open": True, "open_team": "north"}],
        }
    }


def _send(count: int) -> dict[str, int]:
    pool = urllib3.PoolManager(retries=False)
    counts = {"requests": count, "answered": 0}
    for number in range(count):
        response = pool.request(
            "POST",
            f"http://{_ENTRY}/v1/queues/open/requests",
            body=b"invoice",
            headers={"Standin-Work-Id": str(number), "Standin-Work-Ms": "2"},
        )
        is_answered = response.headers.get("Almondstack-Outcome") == "answered"
        counts["answered"] += is_answered and response.json()["work_id"] == str(number)
    return counts
