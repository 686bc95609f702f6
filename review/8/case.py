"""One accepted job whose schedule began long ago ends every process that comes to own the jobs."""

import random
import re
import signal
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from lab import TROUBLE, Lab, job_id, route

PROCESSES, MEMORY_MB = 3, 300
FINISH_S = 14.0
TIMES, EVERY_MS = 525_600, 60_000
SMALL = {"spec": "s", "steps": [{"count": 1, "cpu": 500, "mem-mb": 100, "estimate-ms": 300}]}

lab = Lab(Path(__file__).resolve().parent, processes=PROCESSES)
for number in range(6):
    lab.add_machine(f"m-{number}", lab.zones[number % 3], f"r-{number % 3}")
limit = {"cpu": 4000, "mem-mb": 16000}
lab.configure(
    [route("match", "/match/"), route("watch", "/watch/")],
    [
        {"name": "member", "api-keys": ["key-1"], "weight": 1},
        {"name": "other", "api-keys": ["key-2"], "weight": 1, "maximum": limit},
    ],
    [{"name": "apps"}, {"name": "off", "standby": True}],
)
ended, largest_mb = {one.name: 0 for one in lab.processes}, {}
lab.start()
is_over = threading.Event()


def watch_memory():
    """End a process that exceeds its memory, and start each one that has ended again."""
    while not is_over.wait(0.1):
        for process in lab.processes:
            if process.popen.poll() is not None:
                lab.record.write(f"{process.name}: has ended, code {process.popen.returncode}")
                ended[process.name] += 1
                time.sleep(0.3)
                process.start()
                continue
            try:
                status = Path(f"/proc/{process.popen.pid}/status").read_text()
            except OSError:
                continue
            found = re.search(r"VmRSS:\s+(\d+) kB", status)
            used_mb = int(found.group(1)) // 1024 if found else 0
            largest_mb[process.name] = max(used_mb, largest_mb.get(process.name, 0))
            if used_mb > MEMORY_MB:
                lab.record.write(f"{process.name}: uses {used_mb} MB; the platform kills it")
                process.popen.send_signal(signal.SIGKILL)
                process.popen.wait(10)


watcher = threading.Thread(target=watch_memory, daemon=True)
watcher.start()
accepted = {}


def submit(path, key, body):
    """Hand a job in, up to five times; return its id if it was accepted."""
    job = job_id()
    for _ in range(5):
        process = random.choice(lab.processes)
        status, _ = process.call("POST", f"{path}{job}", key, body, timeout_s=2.0)
        if status == 200:
            return job
        time.sleep(0.3)
    return None


time.sleep(1.0)
for _ in range(5):
    accepted[submit("/match/", "key-1", SMALL)] = "before"
start_ms = int(time.time() * 1000)
if TROUBLE:
    start_ms -= 300 * 24 * 3600 * 1000
standing = {
    "spec": "s", "steps": [{"count": 6, "cpu": 500, "mem-mb": 100, "estimate-ms": 300}],
    "times": TIMES, "start-at-ms": start_ms, "interval-ms": EVERY_MS,
}  # fmt: skip
standing_job = submit("/watch/", "key-2", standing)
lab.record.write(f"the job with a schedule is {standing_job}, first due at {start_ms}")
until_s = time.monotonic() + 30.0
while time.monotonic() < until_s:
    job = submit("/match/", "key-1", SMALL)
    if job is not None:
        accepted[job] = "after"
    time.sleep(1.0)
accepted.pop(None, None)
lab.record.write(f"end of the traffic; {len(accepted)} small jobs were accepted")
time.sleep(FINISH_S)
shown = {}
asked_until_s = time.monotonic() + 20.0
for job in accepted:
    for process in lab.processes:
        if time.monotonic() > asked_until_s:
            break
        status, answer = process.call("GET", f"/match/{job}", "key-1", timeout_s=0.5)
        if status == 200:
            shown[job] = answer["state"]
            break
lost = [job for job in accepted if shown.get(job) != "completed"]
is_over.set()
watcher.join(10)
text = (
    f"{len(lost)} of {len(accepted)} accepted jobs of the other tenant are not completed "
    f"{FINISH_S:.0f} s after the end of the traffic; processes have ended {ended} times, "
    f"largest memory {largest_mb} MB"
)
is_fault = sum(count >= 3 for count in ended.values()) >= 2
lab.finish(bool(lost) or is_fault, text)
