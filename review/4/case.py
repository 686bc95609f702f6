"""One tenant sends many times its usual to a queue that asks the advice service."""

import random
import threading
import time

from standins.advice import AdviceService
from standins.checks import find_stuck
from standins.rig import KEY, OTHER_KEY, CouldNotRunError, Rig, play, route

PREFIX = "/kafi706/"
WORKERS = 6
DECISION_MS, PERIOD_MS, VALID_MS = 50, 10, 3_000
RATE_PER_S = 4.0
HOT_SHARE = 0.5
TRAFFIC_S = 45.0
HOT_AT_S, HOT_S, HOT_X = 8.0, 6.5, 7.5
CPU, MEM_MB, WORK_MS = 880, 900, 500
FINISH_S = 14.0


def run(rig: Rig, has_trouble: bool) -> list[str]:
    """Submit jobs of one task at random times; one of two tenants sends more for a while."""
    advice = AdviceService(rig.record, DECISION_MS, PERIOD_MS, VALID_MS)
    rig.serve_advice(advice)
    for number in range(WORKERS):
        rig.add_machine(f"m-{number}", "se-a", f"r1-{number}", advice=advice)
    rig.start([route("r-invoice", PREFIX, advice=advice.policy)])
    time.sleep(4.0)
    step = {"count": 1, "cpu": CPU, "mem-mb": MEM_MB, "estimate-ms": WORK_MS}
    body = {"spec": f"work {WORK_MS} {CPU} {MEM_MB}", "steps": [step]}
    accepted: dict[str, str] = {}

    def submit(job: str, key: str) -> None:
        if rig.submit(PREFIX, job, body, key):
            accepted[job] = key

    clients = []
    times = random.Random(3)
    began_s = time.monotonic()
    while (at_s := time.monotonic() - began_s) < TRAFFIC_S:
        is_hot = has_trouble and HOT_AT_S <= at_s < HOT_AT_S + HOT_S
        hot_rate = RATE_PER_S * HOT_SHARE * (HOT_X if is_hot else 1.0)
        rate = RATE_PER_S * (1.0 - HOT_SHARE) + hot_rate
        time.sleep(times.expovariate(rate))
        key = KEY if times.random() < hot_rate / rate else OTHER_KEY
        client = threading.Thread(target=submit, args=(rig.job_id(), key))
        client.start()
        clients.append(client)
    for client in clients:
        client.join()
    if not accepted:
        raise CouldNotRunError("no job was accepted")
    rig.record.add("traffic-over", accepted=len(accepted))
    time.sleep(FINISH_S)
    return find_stuck(rig, PREFIX, dict.fromkeys(accepted, 1), CPU, accepted)


if __name__ == "__main__":
    play(__file__, run)
