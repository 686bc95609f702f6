"""Two waves name the same machines; more of one wave are down at once than its maximum."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "standins-3"))

from world import World, main  # noqa: E402

MACHINES, MAXIMUM, DURATION_S = 6, 1, 40
WATCHED_S = 50.0


def case(folder, has_trouble):
    """Request one wave or two; return the exit code."""
    world = World(folder, machines=MACHINES)
    try:
        world.start_processes(3)
        time.sleep(4.0)
        machines = list(world.pools)
        world.request_wave(1, machines, DURATION_S, MAXIMUM)
        if has_trouble:
            world.request_wave(2, machines, DURATION_S, MAXIMUM)
        numbers = [1, 2] if has_trouble else [1]
        until_s = time.monotonic() + WATCHED_S
        while time.monotonic() < until_s:
            time.sleep(0.2)
            if all(world.wave_state(number) == "completed" for number in numbers):
                break
        broken = False
        for number in numbers:
            spans = sorted((a, b, name) for (n, name), a, b in world.upkeeps if n == number)
            for began_s, _, name in spans:
                down = [o for a, b, o in spans if a < began_s < b and o != name]
                if len(down) >= MAXIMUM:
                    broken = True
                    world.recorder.write(
                        f"LIMIT: at {began_s:.3f} the upkeep of {name} for wave {number} begins "
                        f"while {down} are down for theirs; the maximum is {MAXIMUM}"
                    )
        states = [world.wave_state(number) for number in numbers]
        world.recorder.write(f"waves: {states}, upkeeps: {len(world.upkeeps)}")
        if broken:
            return 1
        return 0 if all(state == "completed" for state in states) else 2
    finally:
        world.close()


main(Path(__file__).parent, case)
