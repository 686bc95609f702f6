"""Stand-ins that run in threads of the test process."""

import contextlib
import threading
from collections.abc import Iterator

import msgspec
import urllib3

from almondstack.standin.log_service import LogFaults, LogServiceStandin
from almondstack.standin.web import serve
from almondstack.testing.addresses import free_address

__all__ = ["StandinControl", "running_log"]

_TIMEOUT_S = 5.0


class StandinControl:
    """Client of a stand-in's control path, which sets injected faults.

    Parameters
    ----------
    address : str
        Numeric address of the stand-in.
    """

    __slots__ = ("_address",)

    def __init__(self, address: str) -> None:
        self._address = address

    @property
    def address(self) -> str:
        """Numeric address of the stand-in."""
        return self._address

    def set_faults(self, faults: msgspec.Struct) -> None:
        """Replace the injected faults."""
        urllib3.PoolManager(retries=False).request(
            "POST",
            f"http://{self._address}/control/faults",
            body=msgspec.json.encode(faults),
            timeout=_TIMEOUT_S,
        )


@contextlib.contextmanager
def running_log(faults: LogFaults | None = None) -> Iterator[StandinControl]:
    """Run a log stand-in until the context ends, with ``faults`` if given."""
    address = free_address()
    server = serve(LogServiceStandin(), address, threads=32)
    thread = threading.Thread(target=server.serve, name="log-standin", daemon=True)
    thread.start()
    control = StandinControl(address)
    if faults is not None:
        control.set_faults(faults)
    try:
        yield control
    finally:
        server.stop()
        thread.join(_TIMEOUT_S)
