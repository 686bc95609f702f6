"""Faults and warnings found in a release note."""

from enum import StrEnum

import msgspec

__all__ = ["FaultCode", "NoteFault", "NoteReport"]


class FaultCode(StrEnum):
    """Kind of a fault or warning."""

    DUPLICATE = "duplicate"
    EXISTS = "exists"
    MISSING = "missing"
    DANGLING = "dangling"
    REVOKED = "revoked"
    SHARED_ADDRESS = "shared-address"
    TWO_POOLS = "two-pools"
    UNFIT = "unfit"
    BUDGET = "budget"
    NO_TEAM = "no-team"
    NOT_OPEN = "not-open"
    CEILING = "ceiling"
    LIMIT = "limit"
    NO_MAINTENANCE = "no-maintenance"
    RACK_LOSS = "rack-loss"
    ZONE_LOSS = "zone-loss"
    SIZE = "size"
    SHARE = "share"


class NoteFault(msgspec.Struct, frozen=True, order=True):
    """One fault or warning, with its path in the note.

    Parameters
    ----------
    path : str
        Position in the note, such as ``added.pools[2].min_serving``; a path that
        begins with ``in-force`` refers to an object that the note does not change.
    code : FaultCode
        Stable identifier of the kind of fault.
    message : str
        One short sentence.
    """

    path: str
    code: FaultCode
    message: str


class NoteReport(msgspec.Struct, frozen=True):
    """All faults and warnings of a note.

    Parameters
    ----------
    faults : list of NoteFault
        Violations; the fold refuses a note that has any.
    warnings : list of NoteFault
        Valid but probably unintended parts of the configuration.
    """

    faults: list[NoteFault]
    warnings: list[NoteFault]
