"""A gang whose first run ends on two failing workers is given up although it may run again."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "standins-2"))
from lab import TROUBLE, Lab, job_id, route

WORKERS, FAILING, FAILING_S, MAX_ATTEMPTS = 14, 2, 5.5, 2
GANG = {
    "spec": "s",
    "steps": [{"count": 2, "cpu": 10000, "mem-mb": 100, "estimate-ms": 400, "gang": True}],
}

lab = Lab(Path(__file__).resolve().parent, processes=3)
for number in range(WORKERS):
    lab.add_machine(f"m-{number:02d}", lab.zones[number % 3], f"r-{number % 4}")
lab.configure(
    [route("match", "/match/", **{"max-attempts": MAX_ATTEMPTS})],
    [{"name": "member", "api-keys": ["key-1"], "weight": 1}],
    [{"name": "apps"}, {"name": "off", "standby": True}],
)
failing_until_s = 0.0
starts, ends = [], []


def behave(worker):
    """Return the behaviour of a worker: the first ones fail all that they start for a while."""
    is_failing = worker.id in sorted(lab.workers)[:FAILING]

    def run(task, number):
        if is_failing and time.monotonic() < failing_until_s:
            return 0.05, "failed"
        return 0.4, "done"

    return run


lab.on_start = lambda worker, task, run, order: starts.append((task, run, worker.id))
lab.on_end = lambda worker, task, run, how: ends.append((task, run, worker.id, how))
for one in lab.workers.values():
    one.behave = behave(one)
lab.start()
time.sleep(1.0)
if TROUBLE:
    failing_until_s = time.monotonic() + FAILING_S
    lab.record.write(f"{FAILING} of {WORKERS} workers fail all that they start, {FAILING_S} s long")
job = job_id()
status, _ = lab.processes[0].call("POST", f"/match/{job}", "key-1", GANG)
state = None
until_s = time.monotonic() + 20.0
while status == 200 and time.monotonic() < until_s:
    time.sleep(0.5)
    _, answer = lab.processes[1].call("GET", f"/match/{job}", "key-1")
    state = answer.get("state")
    if state in ("completed", "failed", "cancelled"):
        break
failed_runs = {run for _, run, _, how in ends if how == "failed"}
text = (
    f"the job is shown as {state}; the gang was run {len({run for _, run, _ in starts})} times and "
    f"failed {len(failed_runs)} times, max-attempts {MAX_ATTEMPTS}"
)
lab.finish(state == "failed" and len(failed_runs) < MAX_ATTEMPTS, text)
