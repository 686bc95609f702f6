import threading

import pytest

from almondstack.core import LogServiceSettings
from almondstack.log import FLEET, HttpLogClient
from almondstack.log.errors import LogReplyLostError, LogTruncatedError, LogUnavailableError
from almondstack.standin.log_service import LogFaults
from almondstack.testing.standins import running_log


@pytest.fixture
def log():
    with running_log() as running:
        yield running


def _client(log, reader: str = "e1~00") -> HttpLogClient:
    return HttpLogClient(LogServiceSettings(address=log.address), reader)


def test_outage_ends_a_long_poll(log):
    client = _client(log)
    client.bounds(FLEET)
    ended = threading.Event()

    def poll() -> None:
        with pytest.raises(LogUnavailableError):
            client.read(FLEET, 0, wait_s=60.0)
        ended.set()

    thread = threading.Thread(target=poll)
    thread.start()
    log.set_faults(LogFaults(is_down=True))
    thread.join(10.0)
    assert ended.is_set()


def test_reader_is_cut_by_name_and_others_are_not(log):
    log.set_faults(LogFaults(cut_readers=["e1"]))
    with pytest.raises(LogUnavailableError):
        _client(log).bounds(FLEET)
    assert _client(log, "e2~00").bounds(FLEET).next_offset == 0


def test_append_with_dropped_reply_is_stored(log):
    log.set_faults(LogFaults(drop_replies=1))
    with pytest.raises(LogReplyLostError):
        _client(log).append(FLEET, [b"a"])
    assert _client(log).bounds(FLEET).next_offset == 1


def test_appends_beyond_the_rate_are_throttled(log):
    log.set_faults(LogFaults(appends_per_s=1))
    client = _client(log)
    with pytest.raises(LogUnavailableError, match="too many"):
        for _ in range(4):
            client.append(FLEET, [b"a"])


def test_old_records_are_truncated(log):
    client = _client(log)
    client.append(FLEET, [b"a", b"b", b"c"])
    log.set_faults(LogFaults(kept=1))
    assert client.read(FLEET, 2)[0].data == b"c"
    with pytest.raises(LogTruncatedError):
        client.read(FLEET, 0)
