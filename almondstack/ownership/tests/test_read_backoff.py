"""How far apart a process reads after the store has turned it away."""

from almondstack.ownership import ReadBackoff


def _turn_away(pace, from_s, until_s):
    now_s = from_s
    while now_s < until_s:
        pace.note_refused(now_s)
        now_s += 0.2


def test_store_turns_one_machine_away_it_reads_as_often_as_before_soon_after():
    """It read every 3 s, held itself for ready in a zone that was cut off, and kept it in use."""
    pace = ReadBackoff()
    _turn_away(pace, 100.0, 108.0)
    assert pace.factor(108.0) > 10.0
    pace.note_answered(108.2)
    assert pace.factor(108.2) <= 1.5


def test_hundreds_of_processes_reads_stay_spread_while_some_are_answered():
    pace = ReadBackoff()
    now_s = 100.0
    for _ in range(20):
        pace.note_refused(now_s)
        pace.note_refused(now_s + 0.2)
        pace.note_answered(now_s + 0.4)
        now_s += 0.8
    assert pace.factor(now_s) > 10.0


def test_an_answer_alone_changes_nothing():
    pace = ReadBackoff()
    _turn_away(pace, 100.0, 100.1)
    pace.note_answered(100.2)
    factor = pace.factor(100.4)
    pace.note_answered(100.4)
    assert pace.factor(100.4) == factor > 1.0
