"""Bytes of other programs that no decoder can read: each has the outcome of a malformed message."""

import msgspec
import pytest

from almondstack.control.errors import AdviceError, InstanceServiceError
from almondstack.control.messages import OrderStatus
from almondstack.core import CodecError, SettingsError, decode_with
from almondstack.core.http_client import HttpClient, HttpReply
from almondstack.jobs import RecordError, decode_progress, decode_submission
from almondstack.ownership import StoreError
from almondstack.placement import WorkerInfo
from almondstack.platform.advice import HttpAdvice
from almondstack.platform.configuration import ConfigurationError, ConfigurationHolder
from almondstack.platform.instances import HttpInstances
from almondstack.platform.settings import load_platform_settings
from almondstack.platform.store import KeyedTopic, StoreConnection
from almondstack.platform.workers import HttpWorkerCallers

_ADDRESS = "127.0.0.1:1"
_DEEP_JSON = b'{"notes":' + b"[" * 5_000 + b"]" * 5_000 + b"}"
_DEEP_MSGPACK = b"\x91" * 5_000
_UNREADABLE = [_DEEP_JSON, b'{"notes":"\xff\xfe"', b"\xff"]


@pytest.fixture(params=_UNREADABLE, ids=["deep", "cut off", "not UTF-8"])
def content(request):
    """Return bytes that can't be read as JSON."""
    return request.param


@pytest.fixture
def answered(monkeypatch, content):
    """Answer each call of an HTTP client with the unreadable bytes."""
    monkeypatch.setattr(HttpClient, "call", lambda self, *args, **kwargs: HttpReply(200, content))


@pytest.mark.parametrize("decoder", [msgspec.json.Decoder(), msgspec.msgpack.Decoder()])
@pytest.mark.parametrize("data", [*_UNREADABLE, _DEEP_MSGPACK, b""])
def test_a_decoder_gives_one_kind_of_error(decoder, data):
    """Guards against an error that the caller of a decoder does not expect (review/6)."""
    if decoder.__class__ is msgspec.msgpack.Decoder and data == b"\xff":
        assert decode_with(decoder, data) == -1
        return
    with pytest.raises(CodecError):
        decode_with(decoder, data)


def test_answers_of_the_platform_that_can_not_be_read_are_failures(answered):
    with pytest.raises(InstanceServiceError):
        HttpInstances(_ADDRESS, "holder").instances()
    with pytest.raises(AdviceError):
        HttpAdvice(_ADDRESS).advise("step", [])
    with pytest.raises(StoreError):
        KeyedTopic(StoreConnection(_ADDRESS), "keyed.servers").snapshot()


def test_answers_of_a_worker_that_can_not_be_read_are_unclear(answered):
    caller = HttpWorkerCallers(1.0).caller(WorkerInfo("i-1", 0, "pool", _ADDRESS))
    assert caller.poll(None, 0, 0.0, 1).status is OrderStatus.UNCLEAR
    assert caller.stop("task", 1, 1).status is OrderStatus.UNCLEAR


def test_records_of_operators_that_can_not_be_read_are_refused(content):
    with pytest.raises(ConfigurationError):
        ConfigurationHolder().put_configuration(content)
    with pytest.raises(ConfigurationError):
        ConfigurationHolder().put_wave(content)


@pytest.mark.parametrize("decode", [decode_submission, decode_progress])
def test_records_of_jobs_that_can_not_be_read_are_refused(decode):
    with pytest.raises(RecordError):
        decode(b"\x01" + _DEEP_MSGPACK if decode is decode_progress else _DEEP_MSGPACK)


@pytest.mark.parametrize(
    "text", ["day: 2026-02-31\n", "x: " + "[" * 2_000, "x: !!int 1e\n"], ids=["date", "deep", "int"]
)
def test_settings_that_can_not_be_read_are_refused(tmp_path, text):
    """Guards against a settings file whose reading ends the process (report of review 2)."""
    path = tmp_path / "settings.yaml"
    path.write_text(text)
    with pytest.raises(SettingsError):
        load_platform_settings(path)
