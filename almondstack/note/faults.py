"""Faults of a release note."""

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
    """One fault or warning, with the path to it.

    Parameters
    ----------
    path : str
        Where it stands, such as ``added.pools[2].min_serving``; a path that
        begins with ``in-force`` leads to something that the note leaves as it is.
    code : FaultCode
        Stable identifier of the kind of fault.
    message : str
        One short sentence.
    """

    path: str
    code: FaultCode
    message: str


class NoteReport(msgspec.Struct, frozen=True):
    """Everything found in one run over a note.

    Parameters
    ----------
    faults : list of NoteFault
        The fold refuses a note that has one.
    warnings : list of NoteFault
        Allowed, but probably not meant.
    """

    faults: list[NoteFault]
    warnings: list[NoteFault]
