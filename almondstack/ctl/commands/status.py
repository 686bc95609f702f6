"""``almondctl status``: shows the state in force, entries, pools and changes in progress."""

import argparse

import msgspec

from almondstack.ctl.entries import EntryAddress, EntryClient, known_entries
from almondstack.ctl.exit_codes import ExitCode
from almondstack.ctl.instance_rows import InstanceRow, instance_rows
from almondstack.ctl.registry import Command, CommandContext, register_command
from almondstack.ctl.session import OperatorSession
from almondstack.log import FLEET, SnapshotStore
from almondstack.model import EntryStatus, FleetState

__all__: list[str] = []


class EntryRow(msgspec.Struct, frozen=True, order=True):
    """Status of an entry as it reports it; ``behind`` is in records, None without an answer."""

    zone: str
    address: str
    incarnation: str
    is_up: bool
    is_cut_off: bool
    behind: int | None
    detail: str = ""


class PoolRow(msgspec.Struct, frozen=True):
    """State of a pool according to the log."""

    pool: str
    serving: int
    owned: int
    min_serving: int
    size: int
    is_leaving: bool


class StatusResult(msgspec.Struct, frozen=True):
    """Result of ``status``."""

    revision: int
    format_level: int
    next_offset: int
    oldest_offset: int
    snapshot_offset: int | None
    entries: list[EntryRow]
    pools: list[PoolRow]
    under_way: list[InstanceRow]
    leaving_teams: list[str]
    leaving_queues: list[str]


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--offline", action="store_true", help="do not call the entries")


def _run(context: CommandContext, arguments: argparse.Namespace) -> ExitCode:
    session = OperatorSession(context.settings.log)
    session.catch_up()
    state = session.fold.state
    newest = SnapshotStore(session.client).newest()
    entries = [] if arguments.offline else _entry_rows(context, session)
    result = StatusResult(
        revision=state.revision,
        format_level=state.level,
        next_offset=session.fold.next_offset,
        oldest_offset=session.client.bounds(FLEET).oldest,
        snapshot_offset=newest.next_offset if newest else None,
        entries=entries,
        pools=_pool_rows(state),
        under_way=instance_rows(state),
        leaving_teams=sorted(state.leaving_teams),
        leaving_queues=sorted(state.leaving_queues),
    )
    context.printer.result(result)
    has_all_answers = all(row.is_up for row in entries)
    return ExitCode.OK if has_all_answers else ExitCode.NOT_CONFIRMED


def _entry_rows(context: CommandContext, session: OperatorSession) -> list[EntryRow]:
    client = EntryClient(context.settings)
    entries = known_entries(session.fold.state, context.settings)
    answers = client.call_all(entries, client.status)
    next_offset = session.fold.next_offset
    return sorted(_entry_row(entry, answers[entry], next_offset) for entry in entries)


def _entry_row(entry: EntryAddress, answer: object, next_offset: int) -> EntryRow:
    if not isinstance(answer, EntryStatus):
        return EntryRow(
            entry.zone, entry.address, entry.incarnation, False, False, None, str(answer)
        )
    behind = max(next_offset - answer.next_offset, 0)
    incarnation = answer.incarnation or entry.incarnation
    return EntryRow(entry.zone, entry.address, incarnation, True, answer.is_cut_off, behind)


def _pool_rows(state: FleetState) -> list[PoolRow]:
    return [
        PoolRow(
            pool=name,
            serving=state.serving_count(name),
            owned=len(state.instances_of(name)),
            min_serving=pool.min_serving,
            size=pool.size,
            is_leaving=name in state.leaving_pools,
        )
        for name, pool in sorted(state.pools.items())
    ]


register_command(
    Command(
        "status",
        "Show the state in force, entries, pools and changes in progress.",
        _add_arguments,
        _run,
    )
)
