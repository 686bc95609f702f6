"""Event log: limits on the number of lines, and the size of writes."""

import io
import json
import threading

from almondstack.core.events import EventLog


def _written(log, stream):
    log._flush()
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def test_a_rare_event_is_written_among_thousands_of_others(monkeypatch):
    """Run events used up the limit of busy seconds, so that the owner's events were dropped."""
    monkeypatch.setattr("almondstack.core.events.time.time", lambda: 100.5)
    stream = io.StringIO()
    log = EventLog("n", stream)
    for number in range(1_000):
        log.write("run-ordered", number=number)
    log.write("owner-started")
    lines = _written(log, stream)
    assert len(lines) == 301
    assert lines[-1]["event"] == "owner-started" and lines[-1]["left_out_before"] == 700


def test_burst_job_ended_events_are_written_among_those_of_their_runs(monkeypatch):
    """Run events of bursts displaced the ``job-ended`` lines of 923 of 1,500 jobs in a day."""
    monkeypatch.setattr("almondstack.core.events.time.time", lambda: 100.5)
    stream = io.StringIO()
    log = EventLog("n", stream)
    for number in range(1_000):
        log.write("run-ordered", number=number)
        log.write("run-ended", number=number)
        if number % 13 == 0:
            log.write("job-ended", number=number)
    events = [line["event"] for line in _written(log, stream)]
    assert events.count("job-ended") == 77 and len(events) <= 400


def test_the_number_of_lines_is_bounded_for_any_mix_of_events(monkeypatch):
    monkeypatch.setattr("almondstack.core.events.time.time", lambda: 100.5)
    stream = io.StringIO()
    log = EventLog("n", stream)
    for number in range(2_000):
        log.write(f"event-{number % 700}")
    assert len(_written(log, stream)) <= 460


def test_an_uncaught_exception_in_a_thread_is_logged(monkeypatch):
    """A follower thread that failed left only a traceback on standard error, not an event."""
    traces = []
    monkeypatch.setattr(threading, "excepthook", traces.append)
    stream = io.StringIO()
    log = EventLog("n", stream)
    log.report_failed_threads()
    thread = threading.Thread(target=[].pop, name="configuration")
    thread.start()
    thread.join()
    (line,) = _written(log, stream)
    assert (line["event"], line["thread"]) == ("thread-failed", "configuration")
    assert "IndexError" in line["error"] and len(traces) == 1


class _Pipe(io.StringIO):
    """Records the number of characters between flushes."""

    def __init__(self):
        super().__init__()
        self.sizes = [0]

    def write(self, text):
        """Add ``text`` to the current write."""
        self.sizes[-1] += len(text)
        return super().write(text)

    def flush(self):
        """End the current write."""
        self.sizes.append(0)


def test_burst_lines_are_written_in_batches_that_a_pipe_accepts_atomically():
    """One write of all lines of a 0.2 s flush interval lost those beyond 8 kB."""
    pipe = _Pipe()
    log = EventLog("n", pipe)
    for number in range(300):
        log.write("run-ended", task=f"{number:032}", worker="w" * 20)
    assert len(_written(log, pipe)) == 300
    assert max(pipe.sizes) <= 4_096 and len(pipe.sizes) > 5
