"""Events of one job, collected from the logs of several processes."""

import json

import pytest

from almondstack.ctl import ExitCode
from almondstack.ctl.commands.story import job_history
from almondstack.ctl.main import main

JOB = "5c0e7a21d94b36f8"


def _line(time_s, node, event, **fields):
    return json.dumps({"time": time_s, "node": node, "event": event, **fields}) + "\n"


_FIRST = [
    _line(10.0, "edge-1", "job-submitted", job=JOB, verdict="done"),
    _line(10.1, "edge-1", "job-submitted", job="f" * 16, verdict="done"),
    _line(14.0, "edge-1", "store-lost", error="no answer"),
    _line(90.0, "edge-1", "store-regained"),
]
_SECOND = [
    _line(9.5, "edge-2", "owner-started", token=3),
    _line(2.0, "edge-2", "owner-ended", token=1),
    _line(11.0, "edge-2", "run-ordered", task=f"{JOB}.0.0.1", run=1, worker="w"),
    _line(16.0, "edge-2", "job-ended", job=JOB, state="completed"),
]


def _events(history):
    return [(line.seconds, line.node, line.event) for line in history.lines]


def test_events_of_all_logs_are_in_time_order_with_context_events():
    assert _events(job_history(JOB, _SECOND + _FIRST)) == [
        (-0.5, "edge-2", "owner-started"),
        (0.0, "edge-1", "job-submitted"),
        (1.0, "edge-2", "run-ordered"),
        (4.0, "edge-1", "store-lost"),
        (6.0, "edge-2", "job-ended"),
    ]


def test_context_events_can_be_omitted():
    history = job_history(JOB, _FIRST + _SECOND, has_context=False)
    assert [line.event for line in history.lines] == ["job-submitted", "run-ordered", "job-ended"]
    assert history.lines[1].detail == f"task={JOB}.0.0.1 run=1 worker=w"


@pytest.mark.parametrize("text", ["not a line", "{", "[1]", '{"time":"x","event":"e"}', "7"])
def test_lines_that_are_not_log_lines_are_counted(text):
    history = job_history(JOB, [text, "", "\n", *_FIRST])
    assert history.unread == 1 and history.lines


def test_text_before_the_json_object_is_ignored():
    assert job_history(JOB, ["  12.3 edge-1 " + _FIRST[0]]).lines[0].event == "job-submitted"


def test_the_command_reads_files_and_prints_json(tmp_path, capsys):
    paths = []
    for number, lines in enumerate((_FIRST, _SECOND)):
        path = tmp_path / f"{number}.log"
        path.write_text("".join(lines))
        paths.append(str(path))
    assert main(["--output", "json", "story", JOB, *paths]) == ExitCode.OK
    assert len(json.loads(capsys.readouterr().out)["lines"]) == 5
    assert main(["story", "0" * 16, *paths]) == ExitCode.NOT_FOUND
    assert main(["story", JOB, str(tmp_path / "missing")]) == ExitCode.USAGE
    assert "missing" in capsys.readouterr().err
