"""Merges, checks and derives release notes, and compares configurations."""

from almondstack.release_note.diff import (
    Change,
    ChangeAction,
    DesiredConfig,
    derive_note,
    diff_tables,
    is_in_force,
)
from almondstack.release_note.faults import FaultCode, NoteFault, NoteReport
from almondstack.release_note.merge import KINDS, ConfigTables, config_tables, merge_note
from almondstack.release_note.validate import check_note, check_tables, merge_and_check
from almondstack.release_note.warn import warn_tables

__all__ = [
    "KINDS",
    "Change",
    "ChangeAction",
    "ConfigTables",
    "DesiredConfig",
    "FaultCode",
    "NoteFault",
    "NoteReport",
    "check_note",
    "check_tables",
    "config_tables",
    "derive_note",
    "diff_tables",
    "is_in_force",
    "merge_and_check",
    "merge_note",
    "warn_tables",
]
