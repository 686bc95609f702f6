"""Command ``almondstack-standin``: runs a stand-in of an external system."""

import argparse
import os
import signal
import sys
import threading
from collections.abc import Callable
from pathlib import Path
from types import FrameType

from almondstack import __version__
from almondstack.standin.instance_list import InstanceListStandin
from almondstack.standin.log_service import LogServiceStandin
from almondstack.standin.platform import PlatformStandin
from almondstack.standin.upstream import UpstreamStandin
from almondstack.standin.web import StandinApp, serve

__all__ = ["main"]

_APPS: dict[str, Callable[[], StandinApp]] = {
    "log": LogServiceStandin,
    "list": InstanceListStandin,
    "platform": PlatformStandin,
}
_THREADS = 96
_ADDRESS_HELP = "numeric address, IP:PORT"


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="almondstack-standin",
        description="Stand-ins for tests and the demo; never for production.",
        epilog="example: almondstack-standin log --listen 127.0.0.1:7001",
    )
    parser.add_argument("--version", action="version", version=__version__)
    kinds = parser.add_subparsers(dest="kind", required=True)
    for kind in _APPS:
        kinds.add_parser(kind).add_argument("--listen", required=True, help=_ADDRESS_HELP)
    upstream = kinds.add_parser("upstream", help="one or more upstream instances in one process")
    upstream.add_argument("--listen", required=True, nargs="+", help=_ADDRESS_HELP)
    upstream.add_argument(
        "--name", default=["upstream"], nargs="+", help="one name for each address"
    )
    upstream.add_argument(
        "--journals", type=Path, help="folder for the event journals that the bench reads"
    )
    return parser


def _serve(arguments: argparse.Namespace) -> None:
    if arguments.kind == "upstream":
        _serve_upstreams(arguments)
        return
    serve(_APPS[arguments.kind](), arguments.listen, threads=_THREADS).serve()


def _serve_upstreams(arguments: argparse.Namespace) -> None:
    threads = []
    for name, address in zip(arguments.name, arguments.listen, strict=True):
        path = arguments.journals / f"{name}.journal" if arguments.journals else None
        upstream = UpstreamStandin(name, address, path)
        threads.append(threading.Thread(target=upstream.serve, name=f"upstream-{name}"))
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def main(argv: list[str] | None = None) -> int:
    """Run one stand-in until SIGTERM."""
    arguments = _parser().parse_args(argv)
    signal.signal(signal.SIGTERM, _exit_on_signal)
    _serve(arguments)
    return 0


def _exit_on_signal(_signal: int, _frame: FrameType | None) -> None:
    """Exit at once; a stand-in has no work to finish on shutdown."""
    os._exit(0)


if __name__ == "__main__":
    sys.exit(main())
