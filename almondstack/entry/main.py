"""Command ``almondstack-entry``: serves callers and sends their work to upstreams."""

import sys

from almondstack import __version__
from almondstack.core import run_daemon
from almondstack.entry.daemon import EntryDaemon
from almondstack.entry.settings import EntrySettings

__all__ = ["main"]


def main(argv: list[str] | None = None) -> int:
    """Run an entry until SIGTERM."""
    return run_daemon(
        "almondstack-entry",
        "Serves callers and sends their work to upstreams.",
        EntrySettings,
        EntryDaemon,
        __version__,
        argv,
    )


if __name__ == "__main__":
    sys.exit(main())
