"""Machines are added and due for upkeep while the machine service is unavailable."""

import json
import time

from standins.checks import find_unmaintained
from standins.rig import ZONES, Rig, play, route

PREFIX = "/kafi706/"
MACHINES, ADDED = 8, 2
WAVE = 1
OUTAGE_S = 4.0
ADDED_AFTER_S = 0.5
DUE_AFTER_S = 2.0
SETTLE_S = 25.0


def run(rig: Rig, has_trouble: bool) -> list[str]:
    """Add two machines, ask for their upkeep, and wait for the report on the wave."""
    for number in range(MACHINES):
        rig.add_machine(f"m-{number}", ZONES[number % len(ZONES)], f"r1-{number}")
    rig.start([route("r-invoice", PREFIX)])
    time.sleep(5.0)
    if has_trouble:
        rig.record.add("machines-down", for_s=OUTAGE_S)
        rig.machines.is_unavailable = True
    began_s = time.monotonic()
    time.sleep(ADDED_AFTER_S)
    added = [rig.add_machine(f"m-new-{number}", ZONES[0], "r1-9").name for number in range(ADDED)]
    time.sleep(DUE_AFTER_S)
    rig.machines.waves[WAVE] = added
    wave = {"wave": WAVE, "machines": added, "duration-s": 20, "maximum": 1}
    rig.record.add("wave-asked", wave=json.dumps(wave))
    rig.store.put("keyed.op", f"wave/{WAVE}", json.dumps(wave).encode())
    time.sleep(max(0.0, began_s + OUTAGE_S - time.monotonic()))
    rig.machines.is_unavailable = False
    rig.record.add("machines-up")
    time.sleep(SETTLE_S)
    return find_unmaintained(rig, WAVE)


if __name__ == "__main__":
    play(__file__, run)
