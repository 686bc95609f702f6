"""Command line, settings and signal handling that all daemons share."""

import argparse
import os
import signal
import sys
from collections.abc import Callable
from types import FrameType
from typing import Protocol, TypeVar

from almondstack.core.errors import SettingsError
from almondstack.core.logs import configure_logging
from almondstack.core.settings import LoggingSettings, Settings, load_settings

__all__ = ["EXIT_SETTINGS", "Daemon", "run_daemon"]

EXIT_SETTINGS = 2
_EXIT_FORCED = 3

S = TypeVar("S", bound=Settings)


class Daemon(Protocol):
    """A server that runs until it is stopped."""

    def run(self) -> None:
        """Serve until :meth:`stop`."""
        ...

    def stop(self) -> None:
        """Begin a graceful shutdown; must return at once."""
        ...


def run_daemon(
    program: str,
    description: str,
    settings_type: type[S],
    make: Callable[[S], Daemon],
    version: str,
    argv: list[str] | None = None,
) -> int:
    """Parse the command line, check the settings and run a daemon.

    Explanation
    -----------
    SIGTERM and SIGINT begin a graceful shutdown; a second signal exits at once.

    Returns
    -------
    int
        Exit code: 0 after a graceful shutdown, 2 for invalid settings.
    """
    parser = argparse.ArgumentParser(
        prog=program,
        description=description,
        epilog=f"example: {program} --settings /etc/almondstack/{program}.json --check",
    )
    parser.add_argument("--version", action="version", version=version)
    parser.add_argument("--settings", required=True, help="path of the JSON settings file")
    parser.add_argument("--check", action="store_true", help="check the settings and exit")
    arguments = parser.parse_args(argv)
    try:
        settings = load_settings(arguments.settings, settings_type)
    except SettingsError as error:
        print(f"{program}: {error}", file=sys.stderr)
        return EXIT_SETTINGS
    if arguments.check:
        print(f"{program}: settings are valid")
        return 0
    configure_logging(getattr(settings, "logging", LoggingSettings()))
    try:
        daemon = make(settings)
    except SettingsError as error:
        print(f"{program}: {error}", file=sys.stderr)
        return EXIT_SETTINGS
    _handle_signals(daemon)
    daemon.run()
    return 0


def _handle_signals(daemon: Daemon) -> None:
    received: list[int] = []

    def handle(signal_number: int, _frame: FrameType | None) -> None:
        received.append(signal_number)
        if len(received) > 1:
            os._exit(_EXIT_FORCED)
        daemon.stop()

    signal.signal(signal.SIGTERM, handle)
    signal.signal(signal.SIGINT, handle)
