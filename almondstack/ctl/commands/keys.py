"""``almondctl keys``: lists, grants and revokes the keys of teams."""

import argparse
import secrets

import msgspec

from almondstack.core import hash_secret, new_key, split_key
from almondstack.ctl.entries import EntryAddress, EntryCallError, EntryClient, known_entries
from almondstack.ctl.errors import DocumentError, RecordRefusedError
from almondstack.ctl.exit_codes import ExitCode
from almondstack.ctl.registry import Command, CommandContext, register_command
from almondstack.ctl.session import OperatorSession
from almondstack.fold import Verdict
from almondstack.log import LogError
from almondstack.model import FleetState, Key, KeyGranted, KeyRevoked

__all__: list[str] = []

_KEY_ID_BYTES = 4


class KeyRow(msgspec.Struct, frozen=True):
    """A key without its digest."""

    key_id: str
    team: str
    state: str
    revoked_offset: int | None = None


class KeyList(msgspec.Struct, frozen=True):
    """Result of ``keys list``."""

    keys: list[KeyRow]


class GrantResult(msgspec.Struct, frozen=True):
    """Result of ``keys grant``; the secret in ``key`` is printed once and stored nowhere."""

    key_id: str
    team: str
    key: str


class EntryRevocation(msgspec.Struct, frozen=True, order=True):
    """Result of a direct call to an entry: True if it now rejects the key."""

    zone: str
    address: str
    is_honoured: bool
    detail: str = ""


class RevokeResult(msgspec.Struct, frozen=True):
    """Result of ``keys revoke``.

    Parameters
    ----------
    is_logged : bool
        True if the revocation is in the log, which makes it permanent.
    was_known : bool
        False if no key with this id was in force, for example after a typing error.
    missing_zones : list of str
        Zones with an entry that did not confirm the direct call.
    """

    key_id: str
    is_logged: bool
    was_known: bool
    missing_zones: list[str]
    entries: list[EntryRevocation]


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    actions = parser.add_subparsers(dest="action", required=True)
    listing = actions.add_parser("list", help="list keys without their secrets")
    listing.add_argument("--team", help="only keys of this team")
    grant = actions.add_parser("grant", help="create a key and print it once")
    grant.add_argument("team")
    grant.add_argument("--id", help="public part of the key; default: derived from the team")
    revoke = actions.add_parser(
        "revoke", help="revoke a key permanently in the log and directly on the entries"
    )
    revoke.add_argument("key_id")


def _run(context: CommandContext, arguments: argparse.Namespace) -> ExitCode:
    run = {"list": _list, "grant": _grant, "revoke": _revoke}[arguments.action]
    return run(context, arguments)


def _list(context: CommandContext, arguments: argparse.Namespace) -> ExitCode:
    session = OperatorSession(context.settings.log)
    session.catch_up()
    state = session.fold.state
    rows = [KeyRow(key.id, key.team, "in-force") for key in state.keys.values()]
    rows.extend(KeyRow(name, "", "revoked", offset) for name, offset in state.revoked.items())
    selected_rows = [row for row in rows if arguments.team in (None, row.team)]
    context.printer.result(KeyList(sorted(selected_rows, key=lambda row: row.key_id)))
    return ExitCode.OK


def _grant(context: CommandContext, arguments: argparse.Namespace) -> ExitCode:
    session = OperatorSession(context.settings.log)
    session.catch_up()
    key_id = arguments.id or f"{arguments.team}-{secrets.token_hex(_KEY_ID_BYTES)}"
    secret_key = new_key(key_id)
    key = _stored_key(key_id, arguments.team, secret_key)
    verdict = session.append(KeyGranted(key), context.settings.apply_timeout_s)
    session.stop()
    if verdict is None:
        context.printer.progress(
            f"The log service did not confirm key {key_id} in time; revoke it."
        )
        return ExitCode.UNAVAILABLE
    if not verdict.is_accepted:
        raise RecordRefusedError(f"{verdict.refusal}: {verdict.detail}")
    context.printer.result(GrantResult(key_id, arguments.team, secret_key))
    return ExitCode.OK


def _stored_key(key_id: str, team: str, secret_key: str) -> Key:
    digest = hash_secret(split_key(secret_key)[1])
    try:
        return msgspec.convert({"id": key_id, "team": team, "digest": digest}, Key)
    except msgspec.ValidationError as error:
        raise DocumentError(str(error)) from error


def _revoke(context: CommandContext, arguments: argparse.Namespace) -> ExitCode:
    session = OperatorSession(context.settings.log)
    state = _state_or_empty(session)
    was_known = arguments.key_id in state.keys
    client = EntryClient(context.settings)
    entries = known_entries(state, context.settings)
    answers = client.call_all(entries, lambda entry: client.revoke(entry, arguments.key_id))
    rows = sorted(_entry_revocation(entry, answer) for entry, answer in answers.items())
    verdict = _append_revocation(context, session, arguments.key_id)
    session.stop()
    missing = sorted({row.zone for row in rows if not row.is_honoured})
    is_logged = verdict is not None and verdict.is_accepted
    context.printer.result(RevokeResult(arguments.key_id, is_logged, was_known, missing, rows))
    if not is_logged:
        return ExitCode.UNAVAILABLE
    return ExitCode.NOT_CONFIRMED if missing else ExitCode.OK


def _state_or_empty(session: OperatorSession) -> FleetState:
    """Return the folded state, or an empty one if the log service is unavailable."""
    try:
        session.catch_up()
    except LogError:
        return FleetState()
    return session.fold.state


def _append_revocation(
    context: CommandContext, session: OperatorSession, key_id: str
) -> Verdict | None:
    return session.append(KeyRevoked(key_id), context.settings.apply_timeout_s)


def _entry_revocation(entry: EntryAddress, answer: object) -> EntryRevocation:
    if isinstance(answer, EntryCallError):
        return EntryRevocation(entry.zone, entry.address, False, str(answer))
    return EntryRevocation(entry.zone, entry.address, True)


register_command(Command("keys", "List, grant and revoke keys.", _add_arguments, _run))
