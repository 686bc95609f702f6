"""Values that the whole system shares: configuration, records and folded state."""

from almondstack.model.config import InstanceSpec, Key, Limit, Pool, Queue, Team
from almondstack.model.config_records import KeyGranted, KeyRevoked, ReleaseApplied
from almondstack.model.fleet_records import InstanceMoved, InstanceObserved, InstanceStepped
from almondstack.model.level_records import LevelRaised
from almondstack.model.member_records import EntryFenced, EntryJoined, EntryLeft
from almondstack.model.note import Configured, ReleaseNote, Withdrawn
from almondstack.model.operator_messages import (
    REVOCATIONS_PATH,
    STATUS_PATH,
    EntryStatus,
    RevocationReply,
    RevocationRequest,
    is_right_proof,
    revocation_proof,
)
from almondstack.model.records import (
    FORMAT_LEVEL,
    REPEAT_WINDOW_RECORDS,
    Envelope,
    LogEntry,
    RecordRegistry,
    decode_body,
    decode_envelope,
    default_registry,
    encode_record,
    record_kind,
    register_record,
)
from almondstack.model.state import (
    AuthorMark,
    EntryPhase,
    EntryState,
    FleetState,
    InstancePhase,
    InstanceState,
    LeavingQueue,
    LeavingTeam,
)

__all__ = [
    "FORMAT_LEVEL",
    "REPEAT_WINDOW_RECORDS",
    "REVOCATIONS_PATH",
    "STATUS_PATH",
    "AuthorMark",
    "Configured",
    "EntryFenced",
    "EntryJoined",
    "EntryLeft",
    "EntryPhase",
    "EntryState",
    "EntryStatus",
    "Envelope",
    "FleetState",
    "InstanceMoved",
    "InstanceObserved",
    "InstancePhase",
    "InstanceSpec",
    "InstanceState",
    "InstanceStepped",
    "Key",
    "KeyGranted",
    "KeyRevoked",
    "LeavingQueue",
    "LeavingTeam",
    "LevelRaised",
    "Limit",
    "LogEntry",
    "Pool",
    "Queue",
    "RecordRegistry",
    "ReleaseApplied",
    "ReleaseNote",
    "RevocationReply",
    "RevocationRequest",
    "Team",
    "Withdrawn",
    "decode_body",
    "decode_envelope",
    "default_registry",
    "encode_record",
    "is_right_proof",
    "record_kind",
    "register_record",
    "revocation_proof",
]
