"""Imports the module of each ``almondctl`` command, which registers the command."""

from almondstack.ctl import report, waves
from almondstack.ctl.commands import apply as apply_command
from almondstack.ctl.commands import (
    check,
    day,
    diff,
    explain,
    keys,
    level,
    status,
    story,
    version,
    watch,
)

__all__: list[str] = []

_MODULES = (
    apply_command,
    check,
    day,
    diff,
    explain,
    keys,
    level,
    status,
    story,
    version,
    watch,
    report,
    waves,
)
