"""Builders of event log lines as written by processes of the platform program."""

import json
from typing import Any

__all__ = ["job_ended", "job_submitted", "log_line"]


def log_line(time_s: float, node: str, event: str, **fields: Any) -> str:
    """Return the log line of an event."""
    return json.dumps({"time": time_s, "node": node, "event": event, **fields}) + "\n"


def job_submitted(time_s: float, job: str, verdict: str = "done", **fields: Any) -> str:
    """Return the ``job-submitted`` line that a process writes after a submission."""
    defaults = {"queue": "q", "account": "a", "owner_age_s": 0.1, "store_age_s": 0.1}
    return log_line(
        time_s, "n1", "job-submitted", job=job, verdict=verdict, **{**defaults, **fields}
    )


def job_ended(time_s: float, job: str, state: str = "completed", **fields: Any) -> str:
    """Return the ``job-ended`` line that an owner writes after the end of a job."""
    defaults = {"queue": "q", "account": "a", "objective_s": 3.0, "delays_s": {}}
    return log_line(time_s, "n2", "job-ended", job=job, state=state, **{**defaults, **fields})
