"""Reports a day's late jobs, their causes and paid instance time from log lines."""

from almondstack.ctl.day.jobs import DayJob, DayJobs, Outcome
from almondstack.ctl.day.page import render_day
from almondstack.ctl.day.report import DayReport, make_day_report
from almondstack.ctl.day.timeline import Timeline

__all__ = [
    "DayJob",
    "DayJobs",
    "DayReport",
    "Outcome",
    "Timeline",
    "make_day_report",
    "render_day",
]
