"""Sends requests in an open loop (at their intended times) or in a closed loop."""

import threading
import time
from collections.abc import Callable, Sequence
from concurrent.futures import Future, ThreadPoolExecutor

import msgspec
from tqdm import tqdm

from almondstack.bench.caller import Caller, WorkItem
from almondstack.bench.outcome_check import CallerRecord

__all__ = ["Step", "send_all", "send_closed"]

_SENDER_THREADS = 1500
_START_DELAY_S = 0.2


class Step(msgspec.Struct, frozen=True):
    """An action on the deployment at a fixed time of a run.

    Parameters
    ----------
    at_s : float
        Seconds after the start of the run, from which intended times count.
    title : str
        Printed above the progress bar when the step starts.
    act : callable
        Performs the action.
    """

    at_s: float
    title: str
    act: Callable[[], None]


def send_closed(caller: Caller, items: Sequence[WorkItem], callers: int) -> list[CallerRecord]:
    """Send ``items`` in a closed loop from ``callers`` threads; for measuring costs only.

    A closed loop hides waiting times: a slow answer delays the next request.
    """
    with ThreadPoolExecutor(callers, thread_name_prefix="caller") as executor:
        return list(executor.map(caller.submit, items))


def send_all(
    caller: Caller, items: Sequence[WorkItem], steps: Sequence[Step] = (), title: str = ""
) -> list[CallerRecord]:
    """Send ``items`` at their intended times and return their outcomes.

    Explanation
    -----------
    A slow answer does not delay the next request, and records carry the
    intended time, so that a delay in the sender counts as waiting.  This
    avoids coordinated omission (Tene 2013).
    """
    start_s = time.monotonic() + _START_DELAY_S
    step_thread = threading.Thread(target=_run_steps, args=(steps, start_s), name="steps")
    step_thread.start()
    with (
        tqdm(total=len(items), desc=title, unit="req", mininterval=1.0) as progress,
        ThreadPoolExecutor(_SENDER_THREADS, thread_name_prefix="caller") as executor,
    ):
        futures = [
            _send_at_intended_time(executor, caller, item, start_s, progress) for item in items
        ]
        records = [future.result() for future in futures]
    step_thread.join()
    return records


def _send_at_intended_time(
    executor: ThreadPoolExecutor, caller: Caller, item: WorkItem, start_s: float, progress: tqdm
) -> "Future[CallerRecord]":
    intended = msgspec.structs.replace(item, intended_s=start_s + item.intended_s)
    time.sleep(max(0.0, intended.intended_s - time.monotonic()))
    future = executor.submit(caller.submit, intended)
    future.add_done_callback(lambda _done: progress.update())
    return future


def _run_steps(steps: Sequence[Step], start_s: float) -> None:
    for step in sorted(steps, key=lambda step: step.at_s):
        time.sleep(max(0.0, start_s + step.at_s - time.monotonic()))
        tqdm.write(f"{step.at_s:5.1f} s  {step.title}")
        step.act()
