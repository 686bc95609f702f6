"""Shared basics of all subpackages: clocks, codecs, errors, logs, metrics and settings."""

from almondstack.core.addresses import parse_address
from almondstack.core.clock import Clock, SystemClock
from almondstack.core.codec import (
    DECODING_ERRORS,
    decode_json,
    decode_msgpack,
    decode_with,
    encode_json,
    encode_msgpack,
)
from almondstack.core.errors import AlmondError, CodecError, RequestError, SettingsError
from almondstack.core.identifiers import (
    hash_secret,
    is_same_digest,
    new_incarnation,
    new_key,
    new_request_id,
    request_id_time_s,
    split_key,
)
from almondstack.core.logs import PartLogger, configure_logging
from almondstack.core.metrics import LocalMetrics, StatsdMetrics
from almondstack.core.program import EXIT_SETTINGS, Daemon, run_daemon
from almondstack.core.reasons import Outcome, Reason, ReasonInfo, RetryReason, reason_info
from almondstack.core.settings import (
    Address,
    LoggingSettings,
    LogServiceSettings,
    Name,
    NodeSettings,
    PositiveSeconds,
    Settings,
    StatsdSettings,
    TlsSettings,
    decode_settings,
    load_settings,
)
from almondstack.core.tokens import read_token

__all__ = [
    "DECODING_ERRORS",
    "EXIT_SETTINGS",
    "Address",
    "AlmondError",
    "Clock",
    "CodecError",
    "Daemon",
    "LocalMetrics",
    "LogServiceSettings",
    "LoggingSettings",
    "Name",
    "NodeSettings",
    "Outcome",
    "PartLogger",
    "PositiveSeconds",
    "Reason",
    "ReasonInfo",
    "RequestError",
    "RetryReason",
    "Settings",
    "SettingsError",
    "StatsdMetrics",
    "StatsdSettings",
    "SystemClock",
    "TlsSettings",
    "configure_logging",
    "decode_json",
    "decode_msgpack",
    "decode_settings",
    "decode_with",
    "encode_json",
    "encode_msgpack",
    "hash_secret",
    "is_same_digest",
    "load_settings",
    "new_incarnation",
    "new_key",
    "new_request_id",
    "parse_address",
    "read_token",
    "reason_info",
    "request_id_time_s",
    "run_daemon",
    "split_key",
]
