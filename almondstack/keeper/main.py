"""Command ``almondstack-keeper``: runs the keeper, which makes the fleet match the release note."""

import sys

from almondstack import __version__
from almondstack.core import run_daemon
from almondstack.keeper.daemon import KeeperDaemon
from almondstack.keeper.settings import KeeperSettings

__all__ = ["main"]


def main(argv: list[str] | None = None) -> int:
    """Run a keeper until SIGTERM."""
    return run_daemon(
        "almondstack-keeper",
        "Makes the fleet match the release note and completes maintenance.",
        KeeperSettings,
        KeeperDaemon,
        __version__,
        argv,
    )


if __name__ == "__main__":
    sys.exit(main())
