"""Renders the report of a day as one HTML page with plots over time."""

from html import escape

from almondstack.ctl.day.jobs import DayJobs
from almondstack.ctl.day.report import DayReport
from almondstack.ctl.day.timeline import PoolSample, Timeline
from almondstack.ctl.report_page import render_section, wrap_page
from almondstack.ctl.svg import Series, line_plot, stacked_bars

__all__ = ["render_day"]

_BIN_S = 2.0
"""Width of the bars of jobs by arrival time, in seconds."""

_MILLIS_PER_CORE = 1000.0


def render_day(report: DayReport, jobs: DayJobs, timeline: Timeline) -> str:
    """Return the HTML page of a report, with plots of its jobs and time series."""
    begin_s = _begin_s(jobs, timeline)
    parts = [
        f"<p>{report.jobs} jobs, {report.lasting} lasting ones, {report.seconds:g} s;"
        f" {report.unread} lines not read</p>",
        "<h2>Jobs by cause</h2>",
        _causes_plot(jobs, begin_s),
        render_section(report.causes),
        "<h2>Paid instance-seconds</h2>",
        render_section(report.paid),
        "<h2>Pools</h2>",
        *(_pool_plot(pool, samples, begin_s) for pool, samples in sorted(timeline.pools.items())),
        "<h2>The owner's rounds</h2>",
        _owner_plot(timeline, begin_s),
    ]
    for name in ("queues", "accounts", "zones"):
        parts.append(f"<h2>{escape(name.capitalize())}</h2>")
        parts.append(render_section(getattr(report, name)))
    return wrap_page("What the day cost", parts)


def _begin_s(jobs: DayJobs, timeline: Timeline) -> float:
    times = [job.first_s for job in jobs.jobs.values()]
    times.extend(samples[0].time_s for samples in timeline.pools.values())
    return min(times, default=0.0)


def _causes_plot(jobs: DayJobs, begin_s: float) -> str:
    counts: dict[str, dict[float, float]] = {}
    for job in jobs.jobs.values():
        if job.cause:
            bins = counts.setdefault(job.cause, {})
            bin_s = (job.first_s - begin_s) // _BIN_S * _BIN_S
            bins[bin_s] = bins.get(bin_s, 0.0) + 1.0
    series = [Series(cause, sorted(bins.items())) for cause, bins in sorted(counts.items())]
    return stacked_bars(series, _BIN_S, "jobs late, refused, failed or open")


def _pool_plot(pool: str, samples: list[PoolSample], begin_s: float) -> str:
    size = [(sample.time_s - begin_s, float(sample.size)) for sample in samples]
    wanted = [(sample.time_s - begin_s, float(sample.wanted)) for sample in samples]
    asked = [
        (sample.time_s - begin_s, sample.asked_millis / _MILLIS_PER_CORE) for sample in samples
    ]
    counts = line_plot([Series("instances", size), Series("wanted", wanted)], pool)
    return counts + line_plot([Series("cores asked for", asked)], pool)


def _owner_plot(timeline: Timeline, begin_s: float) -> str:
    parts: dict[str, list[tuple[float, float]]] = {}
    for time_s, mean_ms in timeline.owner_round_ms:
        for part, milliseconds in mean_ms.items():
            parts.setdefault(part, []).append((time_s - begin_s, milliseconds))
    series = [Series(part, points) for part, points in sorted(parts.items())]
    return line_plot(series, "mean milliseconds of a round")
