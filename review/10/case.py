"""An owner that was frozen begins an upkeep beside the one that its successor has begun."""

import json
import signal
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from lab import TROUBLE, Lab, route

FREEZE_S = 3.5
MACHINES, MAXIMUM = 6, 1

lab = Lab(Path(__file__).resolve().parent, processes=3)
for number in range(MACHINES):
    lab.add_machine(f"m-{number}", lab.zones[number % 3], f"r-{number % 3}")
lab.machines.waves[1] = {"machines": [f"m-{number}" for number in range(MACHINES)]}
lab.configure(
    [route("match", "/match/")],
    [{"name": "member", "api-keys": ["key-1"], "weight": 1}],
    [{"name": "apps"}, {"name": "off", "standby": True}],
)
begun, broken = [], []
is_frozen = threading.Event()


def note_upkeep(machine, wave, token, holder):
    down = lab.machines.down(wave)
    begun.append(machine.name)
    if len(down) >= MAXIMUM:
        text = f"the upkeep of {machine.name} begins by order of {holder} (token {token})"
        broken.append(f"{text} while {', '.join(down)} is down for its own; maximum {MAXIMUM}")


def freeze_owner(name, records, server):
    """Freeze the owner while the store's answer to its write is on the way."""
    is_order = any(key.startswith("i") for key, _ in records)
    if not TROUBLE or name != "keyed.work" or not is_order or is_frozen.is_set() or not begun:
        return
    process = next(one for one in lab.processes if one.store is server)
    is_frozen.set()
    process.signal(signal.SIGSTOP)
    threading.Timer(FREEZE_S, process.signal, (signal.SIGCONT,)).start()


lab.machines.on_upkeep = note_upkeep
lab.store.on_append = freeze_owner
lab.start()
time.sleep(1.0)
content = {"wave": 1, "machines": lab.machines.waves[1]["machines"], "duration-s": 40.0,
           "maximum": MAXIMUM}  # fmt: skip
lab.store.put("keyed.op", "wave/1", json.dumps(content).encode())
lab.record.write(f"operator: wave 1 of {MACHINES} machines, {MAXIMUM} at once")
until_s = time.monotonic() + 60.0
while time.monotonic() < until_s:
    time.sleep(0.2)
    if json.loads(lab.store.newest("keyed.status").get("wave/1", b"{}")).get("state") == "completed":
        lab.record.write("the system has written: wave 1 is completed")
        break
time.sleep(1.0)
if TROUBLE and not is_frozen.is_set():
    lab.record.write("no owner was frozen")
    lab.close()
    sys.exit(2)
lab.finish(broken, broken[0] if broken else f"{len(begun)} upkeeps, {MAXIMUM} at once at most")
