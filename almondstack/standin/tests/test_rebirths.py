"""Soak of workers that start again under their ids amid late calls, and are cut off after it."""

from almondstack.standin.soak import SoakSettings, run_soak

_REBIRTHS = SoakSettings(workers=8, callers=2, has_faults=False, has_rebirths=True)


# Guards against issue 50, TWICE: a poll for a worker's former life, carried out late by the next
# one, has it forget ends that no owner has read, and their tasks run again.
def test_no_task_runs_again_after_an_end_that_a_late_poll_for_a_former_life_acknowledged(tmp_path):
    report = run_soak(337, _REBIRTHS, tmp_path)
    assert report.broken == [] and report.completed > 0
