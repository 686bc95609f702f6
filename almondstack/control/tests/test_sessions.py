"""Which workers are polled, and when an unreachable worker gets runs again."""

from types import SimpleNamespace

from almondstack.control.sessions import SessionTable
from almondstack.control.settings import ControlSettings
from almondstack.core import LocalMetrics
from almondstack.testing.job_builders import make_job, make_table, make_worker


class _Session:
    """Records whether the worker is to be polled."""

    def __init__(self):
        self.is_busy = None
        self.start_room = 64
        self.contact_until_s = 0.0

    def needs_contact(self, now_s):
        return now_s < self.contact_until_s

    def set_busy(self, is_busy):
        self.is_busy = is_busy

    def add_connection_if_slow(self, now_s):
        """Do nothing: no order is queued."""


def _sessions(worker):
    sessions = SessionTable(None, 1, lambda event: None, lambda: True, 0.0)
    sessions._sessions[worker.id] = _Session()
    return sessions


def test_only_workers_with_runs_are_polled():
    worker = make_worker()
    table = make_table(workers=(worker,))
    sessions = _sessions(worker)
    sessions.update_polling(table, 0.0)
    assert sessions.get("w1").is_busy is False
    worker.put(make_job().steps_of(0)[0][0])
    sessions.update_polling(table, 0.0)
    assert sessions.get("w1").is_busy is True


def test_a_worker_that_calls_for_its_former_life_may_reach_is_polled_without_runs():
    """Guards against a late start that it carries out as it has seen no token (TWICE)."""
    worker = make_worker()
    table = make_table(workers=(worker,))
    sessions = _sessions(worker)
    sessions.get("w1").contact_until_s = 5.0
    sessions.update_polling(table, 4.9)
    assert sessions.get("w1").is_busy is True
    sessions.update_polling(table, 5.1)
    assert sessions.get("w1").is_busy is False


def test_a_worker_whose_runs_were_lost_as_unreachable_gets_runs_only_after_a_pause():
    """Guards against assigning tasks to a crashed worker that is still registered."""
    worker = make_worker()
    table = make_table(workers=(worker,))
    worker.is_reachable = False
    _sessions(worker).update_polling(table, 10.0)
    assert not worker.is_open(12.9) and worker.is_open(13.1)


def test_a_registration_of_an_earlier_incarnation_opens_no_session():
    """Guards against sessions opened again and again for an incarnation that has ended.

    Eight were opened within a second (soak, seed 22).
    """
    worker = make_worker(life=2)
    directory = SimpleNamespace(
        workers=lambda: {worker.id: worker.info}, may_have_restarted=lambda worker, life: False
    )
    services = SimpleNamespace(
        control=ControlSettings(), directory=directory, callers=None, metrics=LocalMetrics()
    )
    sessions = SessionTable(services, 1, lambda event: None, lambda: True, 0.0)
    sessions.drop_restarted(worker.id, 3)
    assert sessions.reconcile(make_table(), 10.0).added == []
    worker.info.life = 3
    assert [added.id for added in sessions.reconcile(make_table(), 20.0).added] == [worker.id]


def test_an_entry_of_a_life_that_another_one_has_replaced_opens_no_session():
    """Guards against a stale entry by which runs of the present life are stopped."""
    registered = {}
    directory = SimpleNamespace(
        workers=lambda: dict(registered), may_have_restarted=lambda worker, life: False
    )
    services = SimpleNamespace(
        control=ControlSettings(), directory=directory, callers=None, metrics=LocalMetrics()
    )
    sessions = SessionTable(services, 1, lambda event: None, lambda: True, 0.0)
    table = make_table()
    for number, (life, is_used) in enumerate([(5, True), (4, True), (5, False), (4, False)]):
        registered["w1"] = make_worker(life=life).info
        added = sessions.reconcile(table, 10.0 * (number + 1)).added
        assert [worker.info.life for worker in added] == ([life] if is_used else [])
        for worker in added:
            table.add_worker(worker, 0.0)


def test_what_was_sent_to_workers_that_have_left_is_forgotten():
    """Guards against an owner that keeps something of each worker that there ever was."""
    services = SimpleNamespace(control=ControlSettings())
    sessions = SessionTable(services, 1, lambda event: None, lambda: True, 0.0)
    for number in range(200):
        sent = sessions._calls_of(f"w{number}")
        sent.leave_open(sent.begin(1, float(number)))
    sessions._forget_sent_calls(119.9)
    assert 64 < len(sessions._calls) < 200
    sessions._forget_sent_calls(1_000.0)
    assert len(sessions._calls) == 0
