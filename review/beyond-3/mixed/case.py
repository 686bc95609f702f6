"""The operator adds machines to a wave; it is said to be completed without their upkeep."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "standins-3"))

from world import World, main  # noqa: E402

MACHINES, MAXIMUM, DURATION_S = 6, 1, 40
WATCHED_S = 60.0
RESTS_S = 12.0


def case(folder, has_trouble):
    """Request a wave, in one writing or in two; return the exit code."""
    world = World(folder, machines=MACHINES)
    try:
        world.start_processes(3)
        time.sleep(4.0)
        machines = list(world.pools)
        if has_trouble:
            world.request_wave(1, machines[:2], DURATION_S, MAXIMUM)
            # The second writing comes while the first machine is down, long before the end.
            time.sleep(1.0)
        world.request_wave(1, machines, DURATION_S, MAXIMUM)
        written_s = world.recorder.now_s
        until_s = time.monotonic() + WATCHED_S
        while time.monotonic() < until_s and world.wave_state(1) != "completed":
            time.sleep(0.2)
        # The upkeep of the others gets some more time, though the rule gives it none.
        said_s = world.recorder.now_s
        time.sleep(RESTS_S if has_trouble else 0.5)
        begun = {name for (_, name), _, _ in world.upkeeps}
        missing = [name for name in machines if name not in begun]
        state = world.wave_state(1)
        world.recorder.write(
            f"op/wave/1 was last written at {written_s:.3f}, said to be completed by "
            f"{said_s:.3f}; status is {state}; upkeep has not begun: {missing}"
        )
        if state == "completed" and missing:
            world.recorder.write("MIXED: the wave is said to be completed, and machines lack it")
            return 1
        return 0 if state == "completed" else 2
    finally:
        world.close()


main(Path(__file__).parent, case)
