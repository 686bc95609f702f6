"""Report of a day: outcome and cause of each job, and paid time, from several logs."""

import json

import pytest

from almondstack.ctl import ExitCode
from almondstack.ctl.day import make_day_report
from almondstack.ctl.main import main
from almondstack.testing.log_lines import job_ended, job_submitted, log_line

_START = log_line(0.0, "n1", "start", zone="za")


def _job(*lines):
    _, jobs, _ = make_day_report([_START, *lines])
    (job,) = jobs.jobs.values()
    return job


def test_a_job_that_ends_within_its_objective_has_no_cause():
    job = _job(job_submitted(1.0, "j1"), job_ended(3.5, "j1"))
    assert (job.outcome, job.cause, job.zone, job.queue) == ("in-time", "", "za", "q")


def test_a_late_job_has_the_cause_with_the_longest_delay():
    delays_s = {"instances-coming": 0.4, "worker-lost": 4.5}
    job = _job(job_submitted(1.0, "j1"), job_ended(9.0, "j1", delays_s=delays_s))
    assert (job.outcome, job.cause, job.late_s) == ("late", "worker-lost", 5.0)


def test_time_before_acceptance_counts_as_delay_by_the_refusal_cause():
    refused = job_submitted(1.0, "j1", "not-stored", store_age_s=4.0)
    job = _job(refused, job_submitted(4.0, "j1"), job_ended(6.0, "j1"))
    assert (job.outcome, job.cause, job.late_s) == ("late", "store", 2.0)


def test_a_late_job_with_too_little_logged_delay_is_not_explained():
    job = _job(job_submitted(1.0, "j1"), job_ended(20.0, "j1", delays_s={"store": 0.5}))
    assert job.cause == "not-explained"


@pytest.mark.parametrize(
    ("fields", "cause"),
    [
        ({"verdict": "full", "late_ms": 900}, "pool-full"),
        ({"verdict": "not-stored", "store_age_s": 2.0, "owner_age_s": 2.0}, "store"),
        ({"verdict": "not-stored", "owner_age_s": 2.0}, "no-owner"),
        ({"verdict": "unclear"}, "store"),
    ],
)
def test_a_job_that_no_process_accepted_has_the_cause_of_its_last_refusal(fields, cause):
    job = _job(job_submitted(1.0, "j1", "full"), job_submitted(2.0, "j1", **fields))
    assert (job.outcome, job.cause) == ("refused", cause)


@pytest.mark.parametrize(
    ("lines", "outcome"),
    [
        ([job_ended(4.0, "j1", "failed")], "failed"),
        ([job_ended(4.0, "j1", "cancelled")], "cancelled"),
        ([log_line(2.0, "n1", "job-cancelled", job="j1", verdict="done")], "cancelled"),
        ([job_submitted(1.5, "j1", is_lasting=True)], "lasting"),
        ([], "open"),
    ],
)
def test_outcome_of_an_accepted_job(lines, outcome):
    assert _job(job_submitted(1.0, "j1"), *lines).outcome == outcome


def test_causes_and_groups_sum_to_all_jobs():
    lines = [_START]
    for number in range(12):
        lines.append(job_submitted(1.0 + number, f"j{number}", account=f"a{number % 3}"))
        took_s = 2.0 if number % 2 else 8.0
        delays_s = {"pool-full": 5.0} if number % 4 else {"store": 5.0}
        end = job_ended(1.0 + number + took_s, f"j{number}", delays_s=delays_s)
        lines.append(end.replace('"account": "a"', f'"account": "a{number % 3}"'))
    report, _, _ = make_day_report(lines)
    assert report.jobs == 12 and sum(line.late for line in report.causes) == 6
    for groups in (report.queues, report.accounts, report.zones):
        assert sum(line.jobs for line in groups) == 12
        assert sum(line.late for line in groups) == 6
        assert sum(line.in_time for line in groups) == 6
    assert len(report.accounts) == 3


def test_paid_seconds_of_several_events_are_summed():
    pools = {"p": {"running": 2.0, "spare": 1.0}, "q": {"excess": 4.0}}
    lines = [log_line(time_s, "n1", "paid-seconds", pools=pools) for time_s in (1.0, 3.0)]
    report, _, _ = make_day_report([*lines, job_submitted(1.0, "j1")])
    assert [(line.pool, line.total) for line in report.paid] == [
        ("p", 6.0),
        ("q", 8.0),
        ("all", 14.0),
    ]
    assert report.paid[-1].excess == 8.0


def _write_logs(tmp_path):
    pools = {"p": {"size": 3, "wanted": 2, "asked_millis": 4_000}}
    first = [_START, job_submitted(1.0, "j1"), "torn line\n"]
    second = [
        log_line(1.0, "n2", "pools-want", pools=pools),
        log_line(2.0, "n2", "owner-load", mean_ms={"commit": 8.0}),
        job_ended(9.0, "j1", delays_s={"pool-full": 5.0}),
    ]
    for name, lines in (("one.log", first), ("two.log", second)):
        (tmp_path / name).write_text("".join(lines))
    return [str(tmp_path / name) for name in ("one.log", "two.log")]


def test_the_command_prints_tables_and_writes_a_page(tmp_path, capsys):
    page = tmp_path / "day.html"
    files = _write_logs(tmp_path)
    assert main(["--output", "json", "day", *files, "--page", str(page)]) == ExitCode.OK
    report = json.loads(capsys.readouterr().out)
    assert report["jobs"] == 1 and report["unread"] == 1
    assert report["causes"][0]["cause"] == "pool-full"
    text = page.read_text()
    assert text.count("<svg") == 4 and "pool-full" in text and "http" not in text


def test_a_log_without_jobs_exits_with_not_found(tmp_path, capsys):
    log = tmp_path / "empty.log"
    log.write_text("")
    assert main(["day", str(log)]) == ExitCode.NOT_FOUND


def test_a_missing_file_is_named_in_the_error(tmp_path, capsys):
    assert main(["day", str(tmp_path / "none.log")]) == ExitCode.USAGE
    assert "none.log" in capsys.readouterr().err


@pytest.mark.parametrize(
    "pools", [7, {"p": 1}, {"p": {"size": "many"}}, {"p": {"unheard-of": 1.0}}]
)
@pytest.mark.parametrize("event", ["pools-want", "paid-seconds", "owner-load"])
def test_events_with_unexpected_fields_are_ignored(event, pools):
    lines = [log_line(1.0, "n1", event, pools=pools, mean_ms=pools), job_submitted(1.0, "j1")]
    report, _, timeline = make_day_report(lines)
    assert report.jobs == 1 and report.paid == [] and timeline.pools == {}


def test_job_events_without_optional_fields_are_accepted():
    lines = [log_line(1.0, "n1", event, job="j1") for event in ("job-submitted", "job-ended")]
    report, _, _ = make_day_report(lines)
    assert report.jobs == 1
