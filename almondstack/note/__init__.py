"""Release notes: merging, checks and differences."""

from almondstack.note.diff import (
    Change,
    ChangeAction,
    DesiredConfig,
    diff_tables,
    is_in_force,
    note_towards,
)
from almondstack.note.faults import FaultCode, NoteFault, NoteReport
from almondstack.note.merge import KINDS, ConfigTables, config_tables, merge_note
from almondstack.note.validate import check_note, check_tables, note_faults
from almondstack.note.warn import warn_tables

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
    "diff_tables",
    "is_in_force",
    "merge_note",
    "note_faults",
    "note_towards",
    "warn_tables",
]
