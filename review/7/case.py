"""Tasks that last and find no room keep all other jobs of their service from starting."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from lab import TROUBLE, Lab, job_id, route

LARGE_JOBS, FINISH_S = 4, 14.0
lab = Lab(Path(__file__).resolve().parent, processes=3)
lab.off_pools = {"off"}
for number in range(6):
    lab.add_machine(f"m-{number}", lab.zones[number % 3], f"r-{number % 3}")
for number in range(4):
    lab.add_machine(f"s-{number}", lab.zones[number % 3], f"r-{number % 3}", pool="off")
lab.configure(
    [route("match", "/match/"), route("watch", "/watch/")],
    [
        {"name": "member", "api-keys": ["key-1"], "weight": 1},
        {"name": "other", "api-keys": ["key-2"], "weight": 1},
    ],
    [{"name": "apps"}, {"name": "off", "standby": True}],
)
lasting = set()


def behave(task, run):
    return (None, "") if task.split(".")[0] in lasting else (0.3, "done")


for machine in lab.machines.machines.values():
    machine.worker.behave = behave
lab.start()
time.sleep(1.0)


def submit(path, key, body, number=0):
    job = job_id()
    if body["steps"][0].get("long-running"):
        lasting.add(job)
    status, _ = lab.processes[number % 3].call("POST", f"{path}{job}", key, body)
    return job if status == 200 else None


def standing(count, mem_mb, **more):
    step = {"cpu": 500, "mem-mb": mem_mb, "estimate-ms": 500, "long-running": True}
    return {"spec": "s", "steps": [{"count": count, **step, **more}]}


SMALL = {"spec": "s", "steps": [{"count": 1, "cpu": 500, "mem-mb": 100, "estimate-ms": 300}]}
before = [submit("/match/", "key-1", SMALL, number) for number in range(5)]
memory_mb = {submit("/watch/", "key-2", standing(2, 26_000, **{"anti-affinity": 1})): 26_000}
time.sleep(12.0)
lab.record.write(f"workers of the service: {sorted(lab.workers)}")
if TROUBLE:
    for number in range(LARGE_JOBS):
        memory_mb[submit("/watch/", "key-2", standing(1, 40_000), number)] = 40_000
time.sleep(2.0)
jobs = []
for number in range(20):
    jobs.append((submit("/match/", "key-1", SMALL, number), time.monotonic()))
    time.sleep(1.0)
lab.record.write("end of the traffic")
time.sleep(FINISH_S)
states = [lab.processes[0].call("GET", f"/match/{job}", "key-1")[1].get("state") for job, _ in jobs]
running = [task.split(".")[0] for worker in lab.workers.values() for task in worker.running]
used_mb = sum(memory_mb.get(job, 0) for job in running)
room_mb = sum(worker.mem_mb for worker in lab.workers.values())
lost = states.count("queued")
text = (
    f"{lost} of {len(jobs)} small jobs have not started {FINISH_S:.0f} s after the end of the "
    f"traffic; {len(lab.workers)} workers, {used_mb} of {room_mb} MB in use"
)
lab.finish(lost > 0 and used_mb < room_mb / 2, text)
