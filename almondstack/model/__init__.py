"""Values that the whole system shares: configuration, records and folded state."""

from almondstack.model.config import InstanceSpec, Key, Limit, Pool, Queue, Team
from almondstack.model.config_records import KeyGranted, KeyRevoked, ReleaseApplied
from almondstack.model.fleet_records import InstanceMoved, InstanceObserved, InstanceStepped
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
from almondstack.model.permit_records import (
    EntryEnded,
    PermitCount,
    PermitsDrawn,
    PermitsReturned,
    PermitsSettled,
    SettledCount,
)
from almondstack.model.permit_resources import (
    bound_of,
    bounds_of,
    ceiling_resource,
    is_rate,
    is_slots,
    rate_bursts,
    rate_resource,
    slots_resource,
)
from almondstack.model.permit_state import PermitAccount, Settlement
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

__all__ = [
    "FORMAT_LEVEL",
    "REVOCATIONS_PATH",
    "STATUS_PATH",
    "Configured",
    "EntryEnded",
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
    "Limit",
    "PermitAccount",
    "PermitCount",
    "PermitsDrawn",
    "PermitsReturned",
    "PermitsSettled",
    "Pool",
    "Queue",
    "ReleaseApplied",
    "ReleaseNote",
    "RevocationReply",
    "RevocationRequest",
    "SettledCount",
    "Settlement",
    "Team",
    "Withdrawn",
    "bound_of",
    "bounds_of",
    "ceiling_resource",
    "decode_body",
    "decode_envelope",
    "encode_record",
    "is_rate",
    "is_right_proof",
    "is_slots",
    "rate_bursts",
    "rate_resource",
    "record_kind",
    "register_record",
    "revocation_proof",
    "slots_resource",
]
