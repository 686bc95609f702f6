"""Open-loop sending: each request goes out at its intended time."""

import threading
import time
from collections.abc import Callable, Sequence
from concurrent.futures import Future, ThreadPoolExecutor

import msgspec
from tqdm import tqdm

from almondstack.bench.caller import Caller, WorkItem
from almondstack.bench.outcome_check import CallerRecord

__all__ = ["Step", "send_all", "send_closed"]

_THREADS = 1500
_START_DELAY_S = 0.2


class Step(msgspec.Struct, frozen=True):
    """Something that happens to the deployment during a run.

    Parameters
    ----------
    at_s : float
        Seconds after the first intended time.
    title : str
        Shown beside the progress.
    act : callable
        Does it.
    """

    at_s: float
    title: str
    act: Callable[[], None]


def send_closed(caller: Caller, items: Sequence[WorkItem], callers: int) -> list[CallerRecord]:
    """Send ``items`` with so many callers, each waiting for its answer; for costs only."""
    with ThreadPoolExecutor(callers, thread_name_prefix="caller") as executor:
        return list(executor.map(caller.submit, items))


def send_all(
    caller: Caller, items: Sequence[WorkItem], steps: Sequence[Step] = (), title: str = ""
) -> list[CallerRecord]:
    """Send ``items`` at their intended times and return how each ended.

    Explanation
    -----------
    A slow answer never delays the next request, and records carry the
    intended time, so that waiting in the sender counts as waiting
    (coordinated omission, Tene 2013).
    """
    start_s = time.monotonic() + _START_DELAY_S
    director = threading.Thread(target=_play, args=(steps, start_s), name="steps")
    director.start()
    with (
        tqdm(total=len(items), desc=title, unit="req", mininterval=1.0) as progress,
        ThreadPoolExecutor(_THREADS, thread_name_prefix="caller") as executor,
    ):
        futures = [_send_later(executor, caller, item, start_s, progress) for item in items]
        records = [future.result() for future in futures]
    director.join()
    return records


def _send_later(
    executor: ThreadPoolExecutor, caller: Caller, item: WorkItem, start_s: float, progress: tqdm
) -> "Future[CallerRecord]":
    intended = msgspec.structs.replace(item, intended_s=start_s + item.intended_s)
    time.sleep(max(0.0, intended.intended_s - time.monotonic()))
    future = executor.submit(caller.submit, intended)
    future.add_done_callback(lambda _done: progress.update())
    return future


def _play(steps: Sequence[Step], start_s: float) -> None:
    for step in sorted(steps, key=lambda step: step.at_s):
        time.sleep(max(0.0, start_s + step.at_s - time.monotonic()))
        tqdm.write(f"{step.at_s:5.1f} s  {step.title}")
        step.act()
