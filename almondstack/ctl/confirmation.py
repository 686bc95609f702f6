"""Polls the live entries until each of them has applied a record."""

import threading
from collections import Counter

import msgspec

from almondstack.core import Clock
from almondstack.ctl.entries import EntryAddress, EntryClient
from almondstack.ctl.output import Printer
from almondstack.fold import Fold
from almondstack.model import EntryStatus

__all__ = ["Confirmation", "MissingEntry", "ZoneProgress", "wait_for_entries"]

_POLL_INTERVAL_S = 0.1


class MissingEntry(msgspec.Struct, frozen=True, order=True):
    """A live entry that has not confirmed the record, and why."""

    zone: str
    incarnation: str
    address: str
    reason: str


class ZoneProgress(msgspec.Struct, frozen=True, order=True):
    """Number of live entries of a zone, and of those that have confirmed the record."""

    zone: str
    confirmed: int
    entries: int


class Confirmation(msgspec.Struct, frozen=True):
    """Live entries that have, and have not, confirmed a record.

    Parameters
    ----------
    zones : list of ZoneProgress
        Counts by zone.
    missing : list of MissingEntry
        Live entries that have not confirmed.
    """

    zones: list[ZoneProgress]
    missing: list[MissingEntry]

    @property
    def is_complete(self) -> bool:
        """True if every live entry has confirmed."""
        return not self.missing

    @property
    def missing_zones(self) -> list[str]:
        """Zones with an entry that has not confirmed."""
        return sorted({entry.zone for entry in self.missing})


def wait_for_entries(
    fold: Fold,
    client: EntryClient,
    next_offset: int,
    timeout_s: float,
    clock: Clock,
    printer: Printer,
) -> Confirmation:
    """Poll the live entries until each has folded the log up to ``next_offset``.

    Explanation
    -----------
    The live entries are read from ``fold`` before each poll, so ``fold`` must
    keep following the log to include entries that join and omit those that end.

    Parameters
    ----------
    next_offset : int
        Offset that follows the record.
    timeout_s : float
        Time limit, in seconds; an incomplete confirmation is returned when it passes.
    """
    end_s = clock.monotonic() + timeout_s
    pause = threading.Event()
    printed: list[ZoneProgress] | None = None
    while True:
        confirmation = _poll_entries(fold, client, next_offset)
        if confirmation.zones != printed:
            printed = confirmation.zones
            _print_progress(printer, printed)
        if confirmation.is_complete or clock.monotonic() >= end_s:
            return confirmation
        clock.wait(pause, _POLL_INTERVAL_S)


def _poll_entries(fold: Fold, client: EntryClient, next_offset: int) -> Confirmation:
    with fold.lock:
        entries = [
            EntryAddress(entry.zone, entry.address, entry.incarnation)
            for entry in fold.state.live_entries()
        ]
    answers = client.call_all(entries, client.status)
    missing = [
        MissingEntry(entry.zone, entry.incarnation, entry.address, reason)
        for entry, answer in answers.items()
        if (reason := _missing_reason(entry, answer, next_offset))
    ]
    total = Counter(entry.zone for entry in entries)
    missing_counts = Counter(entry.zone for entry in missing)
    zones = [ZoneProgress(zone, total[zone] - missing_counts[zone], total[zone]) for zone in total]
    return Confirmation(sorted(zones), sorted(missing))


def _missing_reason(entry: EntryAddress, answer: object, next_offset: int) -> str:
    if not isinstance(answer, EntryStatus):
        return f"no answer: {answer}"
    if answer.incarnation and answer.incarnation != entry.incarnation:
        return f"{answer.incarnation} serves at this address"
    if answer.next_offset < next_offset:
        where = "cut off from the platform and other zones, at" if answer.is_cut_off else "at"
        return f"{where} offset {answer.next_offset} of {next_offset}"
    return ""


def _print_progress(printer: Printer, zones: list[ZoneProgress]) -> None:
    if not zones:
        printer.progress("No entry is live; entries that join later read the record from the log.")
    for zone in zones:
        printer.progress(f"zone {zone.zone}: {zone.confirmed} of {zone.entries} entries confirmed")
