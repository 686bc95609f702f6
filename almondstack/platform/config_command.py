"""``almondctl config check``: checks a configuration of the platform before it is sent."""

import argparse
from pathlib import Path

import msgspec

from almondstack.ctl import Command, CommandContext, ExitCode, register_command
from almondstack.ctl.errors import DocumentError
from almondstack.platform.configuration import ConfigurationError, decode_configuration
from almondstack.platform.configuration_check import Finding, Severity, check_bytes
from almondstack.platform.configuration_diff import Change, diff_configurations

__all__ = ["ConfigCheckResult"]


class ConfigCheckResult(msgspec.Struct, frozen=True):
    """Result of ``config check``: findings, and what differs from the version in force."""

    findings: list[Finding]
    changes: list[Change]


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    actions = parser.add_subparsers(dest="action", required=True, metavar="ACTION")
    check = actions.add_parser("check", help="check a configuration before it is sent")
    check.add_argument("file", metavar="FILE", help="the configuration, in JSON")
    check.add_argument("--against", metavar="FILE", help="the configuration in force, in JSON")
    check.add_argument("--strict", action="store_true", help="fail on warnings too")


def _run(context: CommandContext, arguments: argparse.Namespace) -> ExitCode:
    data = _read(arguments.file)
    findings = check_bytes(data)
    changes: list[Change] = []
    if arguments.against:
        more, changes = _compare(data, _read(arguments.against), arguments.against)
        findings = sorted([*findings, *more])
    context.printer.result(ConfigCheckResult(findings, changes))
    is_bad = any(arguments.strict or finding.severity is Severity.FAULT for finding in findings)
    return ExitCode.FAULTS if is_bad else ExitCode.OK


def _compare(data: bytes, before: bytes, path: str) -> tuple[list[Finding], list[Change]]:
    """Compare a configuration with the one in force, which was read from ``path``.

    Returns
    -------
    tuple of list of Finding and list of Change
        Faults that the configuration alone does not show, and what differs.
    """
    try:
        old = decode_configuration(before)
    except ConfigurationError as error:
        raise DocumentError(f"{path}: {error.detail}") from error
    try:
        new = decode_configuration(data)
    except ConfigurationError:
        # The check of the document alone has found it.
        return [], []
    return _check_version(old.version, new.version), diff_configurations(old, new)


def _check_version(old: int, new: int) -> list[Finding]:
    if new > old:
        return []
    says = f"is not above the version in force, {old}: it would be ignored"
    return [Finding(Severity.FAULT, "$.version", says)]


def _read(path: str) -> bytes:
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise DocumentError(f"{path}: {error.strerror}") from error


register_command(
    Command(
        "config",
        "Check a configuration of the platform before it is sent.",
        _add_arguments,
        _run,
        needs_settings=False,
    )
)
