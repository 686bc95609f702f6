"""Maps paths in the resulting configuration to paths in the release note."""

import msgspec

from almondstack.model import ReleaseNote
from almondstack.release_note.faults import NoteFault
from almondstack.release_note.merge import KINDS, name_of

__all__ = ["NoteLocator"]


class NoteLocator:
    """Index of the paths at which a note adds or changes each configuration object.

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
                for index, item in enumerate(getattr(configured, kind)):
                    path = f"{section}.{kind}[{index}]"
                    self._paths.setdefault((kind, name_of(item)), path)

    def locate(self, fault: NoteFault) -> NoteFault:
        """Return ``fault`` with its path in the note.

        Explanation
        -----------
        The path starts with ``in-force`` if the note does not add or change the object.
        """
        kind, _, rest = fault.path.partition(".")
        if kind not in KINDS:
            return fault
        name, field = self._split(kind, rest)
        path = self._paths.get((kind, name), f"in-force.{kind}.{name}")
        return msgspec.structs.replace(fault, path=f"{path}{field}")

    def _split(self, kind: str, rest: str) -> tuple[str, str]:
        """Split ``NAME.FIELD``, where the name may contain dots."""
        if (kind, rest) in self._paths:
            return rest, ""
        name, separator, field = rest.rpartition(".")
        return (name, separator + field) if separator else (rest, "")
