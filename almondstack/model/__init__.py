"""Values that the whole system shares: configuration, records and folded state."""

from almondstack.model.config import InstanceSpec, Key, Limit, Pool, Queue, Team
from almondstack.model.config_records import KeyGranted, KeyRevoked, ReleaseApplied
from almondstack.model.fleet_records import (
    InstanceMoved,
    InstanceObserved,
    InstanceRemoved,
    InstanceStepped,
)
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
    Envelope,
    decode_body,
    decode_envelope,
    encode_record,
    record_kind,
    register_record,
)
from almondstack.model.state import (
    EntryPhase,
    EntryState,
    FleetState,
    InstancePhase,
    InstanceState,
)
from almondstack.model.wave_records import WaveChanged, WaveSetAside, WaveStarted
from almondstack.model.waves import WavePhase, WaveSpec, WaveState

__all__ = [
    "FORMAT_LEVEL",
    "REVOCATIONS_PATH",
    "STATUS_PATH",
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
    "InstanceRemoved",
    "InstanceSpec",
    "InstanceState",
    "InstanceStepped",
    "Key",
    "KeyGranted",
    "KeyRevoked",
    "Limit",
    "Pool",
    "Queue",
    "ReleaseApplied",
    "ReleaseNote",
    "RevocationReply",
    "RevocationRequest",
    "Team",
    "WaveChanged",
    "WavePhase",
    "WaveSetAside",
    "WaveSpec",
    "WaveStarted",
    "WaveState",
    "Withdrawn",
    "decode_body",
    "decode_envelope",
    "encode_record",
    "is_right_proof",
    "record_kind",
    "register_record",
    "revocation_proof",
]
