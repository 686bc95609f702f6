"""Leads from a path in the resulting configuration to one in the note."""

import msgspec

from almondstack.model import ReleaseNote
from almondstack.note.faults import NoteFault
from almondstack.note.merge import KINDS, name_of

__all__ = ["NoteLocator"]


class NoteLocator:
    """Knows where a note names each thing.

    Parameters
    ----------
    note : ReleaseNote
        The note.
    """

    __slots__ = ("_paths",)

    def __init__(self, note: ReleaseNote) -> None:
        self._paths: dict[tuple[str, str], str] = {}
        for section, configured in (("added", note.added), ("changed", note.changed)):
            for kind in KINDS:
                for index, thing in enumerate(getattr(configured, kind)):
                    path = f"{section}.{kind}[{index}]"
                    self._paths.setdefault((kind, name_of(thing)), path)

    def located(self, fault: NoteFault) -> NoteFault:
        """Return ``fault`` with the path in the note, or below ``in-force``."""
        kind, _, rest = fault.path.partition(".")
        if kind not in KINDS:
            return fault
        name, field = self._split(kind, rest)
        path = self._paths.get((kind, name), f"in-force.{kind}.{name}")
        return msgspec.structs.replace(fault, path=f"{path}{field}")

    def _split(self, kind: str, rest: str) -> tuple[str, str]:
        """Split ``NAME.FIELD``; a name may itself hold dots."""
        if (kind, rest) in self._paths:
            return rest, ""
        name, separator, field = rest.rpartition(".")
        return (name, separator + field) if separator else (rest, "")
