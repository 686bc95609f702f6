"""Which workers are looked at, and what one that did not answer gets."""

from types import SimpleNamespace

from almondstack.control.sessions import SessionTable
from almondstack.control.settings import ControlSettings
from almondstack.core import NullMetrics
from almondstack.testing.job_builders import make_job, make_table, make_worker


class _Session:
    """Keeps whether the worker is to be looked at."""

    def __init__(self):
        self.is_busy = None

    def set_busy(self, is_busy):
        self.is_busy = is_busy

    def add_connection_if_slow(self, now_s):
        """No order waits."""


def _sessions(worker):
    sessions = SessionTable(None, 1, lambda news: None, lambda: True, 0.0)
    sessions._sessions[worker.id] = _Session()
    return sessions


def test_only_workers_with_runs_are_looked_at():
    worker = make_worker()
    table = make_table(workers=(worker,))
    sessions = _sessions(worker)
    sessions.update_polling(table, 0.0)
    assert sessions.get("w1").is_busy is False
    worker.put(make_job().steps_of(0)[0][0])
    sessions.update_polling(table, 0.0)
    assert sessions.get("w1").is_busy is True


def test_a_worker_that_lost_its_runs_in_silence_is_tried_again_only_after_a_while():
    """A dead worker that was still registered got the next tasks at once."""
    worker = make_worker()
    table = make_table(workers=(worker,))
    worker.is_reachable = False
    _sessions(worker).update_polling(table, 10.0)
    assert not worker.is_open(12.9) and worker.is_open(13.1)


def test_a_registration_of_a_life_before_the_one_that_answered_opens_no_session():
    """Eight sessions in a second were opened for a life that was over (soak, seed 22)."""
    worker = make_worker(life=2)
    directory = SimpleNamespace(workers=lambda: {worker.id: worker.info})
    services = SimpleNamespace(
        control=ControlSettings(), directory=directory, callers=None, metrics=NullMetrics()
    )
    sessions = SessionTable(services, 1, lambda news: None, lambda: True, 0.0)
    sessions.drop_restarted(worker.id, 3)
    assert sessions.reconcile(make_table(), 10.0).added == []
    worker.info.life = 3
    assert [added.id for added in sessions.reconcile(make_table(), 20.0).added] == [worker.id]
