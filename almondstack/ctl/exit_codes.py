"""Exit codes of ``almondctl``; docs/operators.md lists them."""

from enum import IntEnum
from functools import singledispatch

from almondstack.core import AlmondError, SettingsError
from almondstack.ctl.errors import DocumentError, RecordRefusedError

__all__ = ["ExitCode", "exit_code_of"]


class ExitCode(IntEnum):
    """Exit status of one run of ``almondctl``."""

    OK = 0
    FAULTS = 1
    USAGE = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    NOT_CONFIRMED = 5
    NOT_FOUND = 6


@singledispatch
def exit_code_of(error: AlmondError) -> ExitCode:
    """Return the exit code of a command that failed with ``error``; ``UNAVAILABLE`` by default.

    Examples
    --------
    >>> from almondstack.ctl.errors import DocumentError
    >>> from almondstack.ctl.exit_codes import exit_code_of
    >>> exit_code_of(DocumentError("note.json: not JSON")).name
    'USAGE'
    """
    return ExitCode.UNAVAILABLE


@exit_code_of.register
def _(error: DocumentError) -> ExitCode:
    return ExitCode.USAGE


@exit_code_of.register
def _(error: SettingsError) -> ExitCode:
    return ExitCode.USAGE


@exit_code_of.register
def _(error: RecordRefusedError) -> ExitCode:
    return ExitCode.CONFLICT
