"""``almondstack-standin``: the small stand-ins for what lies outside."""

import argparse
import os
import signal
import sys
from pathlib import Path
from types import FrameType

from almondstack import __version__
from almondstack.standin.instance_list import InstanceListStandin
from almondstack.standin.log_service import LogServiceStandin
from almondstack.standin.upstream import UpstreamStandin
from almondstack.standin.web import serve

__all__ = ["main"]


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="almondstack-standin",
        description="Stand-ins for tests and the demo; never for production.",
        epilog="example: almondstack-standin log --listen 127.0.0.1:7001",
    )
    parser.add_argument("--version", action="version", version=__version__)
    kinds = parser.add_subparsers(dest="kind", required=True)
    for kind in ("log", "list", "upstream"):
        sub = kinds.add_parser(kind)
        sub.add_argument("--listen", required=True, help="numeric address, IP:PORT")
        sub.add_argument("--name", default=kind, help="name in answers")
        sub.add_argument("--journal", type=Path, help="file for what the judge reads")
    return parser


def _serve(arguments: argparse.Namespace) -> None:
    if arguments.kind == "upstream":
        UpstreamStandin(arguments.name, arguments.listen, arguments.journal).serve()
        return
    app = LogServiceStandin() if arguments.kind == "log" else InstanceListStandin()
    serve(app, arguments.listen, threads=96).serve()


def main(argv: list[str] | None = None) -> int:
    """Run one stand-in until SIGTERM."""
    arguments = _parser().parse_args(argv)
    signal.signal(signal.SIGTERM, _end)
    _serve(arguments)
    return 0


def _end(_signal: int, _frame: FrameType | None) -> None:
    """End at once; a stand-in has nothing to finish."""
    os._exit(0)


if __name__ == "__main__":
    sys.exit(main())
