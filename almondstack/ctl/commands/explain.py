"""``almondctl explain``: shows the state of one object and the records that concern it."""

import argparse
from typing import Any

import msgspec

from almondstack.core import encode_json
from almondstack.ctl.exit_codes import ExitCode
from almondstack.ctl.instance_rows import InstanceRow, instance_rows
from almondstack.ctl.record_bodies import is_about, redacted_json
from almondstack.ctl.registry import Command, CommandContext, register_command
from almondstack.ctl.session import OperatorSession
from almondstack.fold import FoldDelta
from almondstack.model import FleetState

__all__: list[str] = []

_STATE_TABLES = {
    "pool": "pools",
    "instance": "instances",
    "team": "teams",
    "key": "keys",
    "queue": "queues",
    "limit": "limits",
    "entry": "entries",
}


class RecordRow(msgspec.Struct, frozen=True):
    """A record that concerns the object."""

    offset: int
    author: str
    kind: str
    verdict: str
    detail: str
    record: str


class ExplainResult(msgspec.Struct, frozen=True):
    """Result of ``explain``.

    Parameters
    ----------
    value : str
        Current state of the object, empty if there is none.
    first_offset : int
        Offset from which records were read; earlier ones are truncated or in a snapshot.
    under_way : list of InstanceRow
        For a pool, its instances that are not serving, withdrawn or not in their
        configured pool, with the reason.
    """

    kind: str
    name: str
    value: str
    first_offset: int
    records: list[RecordRow]
    under_way: list[InstanceRow]


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("kind", help=f"one of {', '.join(_STATE_TABLES)}, wave, config")
    parser.add_argument("name")


def _run(context: CommandContext, arguments: argparse.Namespace) -> ExitCode:
    session = OperatorSession(context.settings.log)
    kind, name = arguments.kind, arguments.name
    rows: list[RecordRow] = []
    first_offsets: list[int] = []

    def collect(delta: FoldDelta) -> None:
        if delta.verdict is None:
            first_offsets.append(delta.next_offset)
        elif is_about(delta.body, kind, name):
            rows.append(_row(delta))

    session.fold.add_listener(collect)
    session.catch_up(is_full_replay=True)
    value = _value(session.fold.state, kind, name)
    first_offset = first_offsets[-1] if first_offsets else 0
    under_way = instance_rows(session.fold.state, name) if kind == "pool" else []
    context.printer.result(ExplainResult(kind, name, value, first_offset, rows, under_way))
    return ExitCode.OK if rows or value else ExitCode.NOT_FOUND


def _row(delta: FoldDelta) -> RecordRow:
    verdict = delta.verdict
    assert verdict is not None
    return RecordRow(
        offset=verdict.offset,
        author=verdict.author,
        kind=verdict.kind,
        verdict=verdict.refusal.value if verdict.refusal else "accepted",
        detail=verdict.detail,
        record=redacted_json(delta.body),
    )


def _value(state: FleetState, kind: str, name: str) -> str:
    if kind == "key":
        return _key_value(state, name)
    table: dict[str, Any] = getattr(state, _STATE_TABLES.get(kind, ""), {})
    found = table.get(name)
    return encode_json(found).decode() if found is not None else ""


def _key_value(state: FleetState, name: str) -> str:
    if name in state.revoked:
        return f"revoked at offset {state.revoked[name]}"
    key = state.keys.get(name)
    return f"in force for team {key.team}" if key else ""


register_command(
    Command("explain", "Show the records that concern one object.", _add_arguments, _run)
)
