"""Release notes: merging, checks and differences."""

from almondstack.note.faults import NoteFault
from almondstack.note.merge import KINDS, ConfigTables, config_tables, merge_note
from almondstack.note.validate import check_note, check_tables

__all__ = [
    "KINDS",
    "ConfigTables",
    "NoteFault",
    "check_note",
    "check_tables",
    "config_tables",
    "merge_note",
]
