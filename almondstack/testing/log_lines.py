"""Builders of log lines of the platform program's processes."""

import json
from typing import Any

__all__ = ["job_ended", "job_submitted", "log_line"]


def log_line(time_s: float, node: str, event: str, **fields: Any) -> str:
    """Return a line as a process writes it."""
    return json.dumps({"time": time_s, "node": node, "event": event, **fields}) + "\n"


def job_submitted(time_s: float, job: str, verdict: str = "done", **fields: Any) -> str:
    """Return what a process writes of a job that it was asked to take."""
    known = {"queue": "q", "account": "a", "owner_age_s": 0.1, "store_age_s": 0.1}
    return log_line(time_s, "n1", "job-submitted", job=job, verdict=verdict, **{**known, **fields})


def job_ended(time_s: float, job: str, state: str = "completed", **fields: Any) -> str:
    """Return what an owner writes of a job that has ended."""
    known = {"queue": "q", "account": "a", "objective_s": 3.0, "delays_s": {}}
    return log_line(time_s, "n2", "job-ended", job=job, state=state, **{**known, **fields})
