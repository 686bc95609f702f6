"""``almondstack-bench``: demo, load, experiments and regression bounds."""

import argparse
import sys

from almondstack import __version__
from almondstack.bench.demo import run_demo

__all__ = ["main"]


def main(argv: list[str] | None = None) -> int:
    """Run one benchmark or the demo."""
    parser = argparse.ArgumentParser(prog="almondstack-bench", description=__doc__)
    parser.add_argument("--version", action="version", version=__version__)
    commands = parser.add_subparsers(dest="command", required=True)
    commands.add_parser("demo", help="the whole path on this machine")
    parser.parse_args(argv)
    return run_demo()


if __name__ == "__main__":
    sys.exit(main())
