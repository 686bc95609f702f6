"""Tests of rereading the configuration when the regular reads have stalled."""

import pytest

from almondstack.core.events import EventLog
from almondstack.jobs import JobIndex, OwnerNotice, RecordKind, encode_notice, record_key
from almondstack.ownership import StoreRefusedError
from almondstack.platform.configuration import ConfigurationHolder
from almondstack.platform.configuration_watch import ConfigurationWatch
from almondstack.platform.tests.builders import configuration_bytes


class _Watched:
    """A process with configuration 7 whose owner reports the given version."""

    def __init__(self, version, failures=0):
        self.holder = ConfigurationHolder()
        self.holder.put_configuration(configuration_bytes(7))
        self.reads = 0
        self._failures = failures
        index = JobIndex()
        notice = OwnerNotice("o/1", 1, configuration=version)
        index.apply(record_key(RecordKind.OWNER), encode_notice(notice))
        self._watch = ConfigurationWatch(index, self.holder, self._read, EventLog("test"))

    def check(self, now_s):
        """Compare the versions, and wait for the reread if there is one."""
        self._watch.check(now_s)
        if self._watch._thread is not None:
            self._watch._thread.join()

    def _read(self):
        self.reads += 1
        if self.reads <= self._failures:
            raise StoreRefusedError("away")
        self.holder.put_configuration(configuration_bytes(9))


@pytest.mark.parametrize("version", [0, 3, 7])
def test_a_process_that_is_not_behind_does_not_reread(version):
    watched = _Watched(version)
    for now_s in (0.0, 5.0):
        watched.check(now_s)
    assert watched.reads == 0


def test_an_overdue_configuration_is_read_over_a_separate_connection():
    """A process used an old version for 12 s (teawa-gangs-grown, trouble-3)."""
    watched = _Watched(9)
    watched.check(0.0)
    watched.check(0.5)
    assert watched.reads == 0
    watched.check(1.0)
    assert watched.reads == 1 and watched.holder.policies().version == 9
    watched.check(9.0)
    assert watched.reads == 1


def test_a_failed_reread_is_retried():
    watched = _Watched(9, failures=2)
    for now_s in (0.0, 1.0, 1.2, 1.4):
        watched.check(now_s)
    assert watched.reads == 3 and watched.holder.policies().version == 9
