"""HTTP client for the status and key revocation endpoints of entries."""

from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor
from typing import TypeVar

import msgspec
import urllib3
from urllib3.exceptions import HTTPError

from almondstack.core import AlmondError, CodecError, decode_json, encode_json, read_token
from almondstack.ctl.settings import CtlSettings
from almondstack.model import (
    REVOCATIONS_PATH,
    STATUS_PATH,
    EntryStatus,
    FleetState,
    RevocationReply,
    RevocationRequest,
    revocation_proof,
)

__all__ = ["EntryAddress", "EntryCallError", "EntryClient", "known_entries"]

T = TypeVar("T")
R = TypeVar("R")

_HTTP_OK = 200
_MAX_CONCURRENT_CALLS = 32


class EntryCallError(AlmondError):
    """A call to an entry failed, or its response was not valid."""

    code = "entry-call"


class EntryAddress(msgspec.Struct, frozen=True, order=True):
    """Address of an entry; ``incarnation`` is empty if only the settings name the entry."""

    zone: str
    address: str
    incarnation: str = ""


def known_entries(state: FleetState, settings: CtlSettings) -> list[EntryAddress]:
    """Return the live entries of the folded state and any others named in the settings."""
    live = [
        EntryAddress(entry.zone, entry.address, entry.incarnation) for entry in state.live_entries()
    ]
    folded = {entry.address for entry in live}
    named = [
        EntryAddress(zone, address)
        for zone, addresses in settings.entries.items()
        for address in addresses
        if address not in folded
    ]
    return sorted([*live, *named])


class EntryClient:
    """Calls entries over HTTP, many of them concurrently.

    Parameters
    ----------
    settings : CtlSettings
        Call timeout and the file that holds the operators' token.
    """

    __slots__ = ("_pool", "_settings", "_token")

    def __init__(self, settings: CtlSettings) -> None:
        self._settings = settings
        self._token = read_token(settings.operator_token_file)
        self._pool = urllib3.PoolManager(retries=False)

    def status(self, entry: EntryAddress) -> EntryStatus:
        """Return the status of an entry, with its position in the log.

        Raises
        ------
        EntryCallError
            The entry did not answer.
        """
        return self._call("GET", entry, STATUS_PATH, None, EntryStatus)

    def revoke(self, entry: EntryAddress, key_id: str) -> RevocationReply:
        """Make an entry reject a key from now on.

        Raises
        ------
        EntryCallError
            The entry did not confirm.
        """
        proof = revocation_proof(self._token, key_id)
        body = encode_json(RevocationRequest(key_id, proof))
        return self._call("POST", entry, REVOCATIONS_PATH, body, RevocationReply)

    def call_all(
        self, entries: Sequence[EntryAddress], call: Callable[[EntryAddress], R]
    ) -> dict[EntryAddress, R | EntryCallError]:
        """Call many entries concurrently; return the result or the error of each."""

        def try_call(entry: EntryAddress) -> R | EntryCallError:
            try:
                return call(entry)
            except EntryCallError as error:
                return error

        if not entries:
            return {}
        with ThreadPoolExecutor(min(len(entries), _MAX_CONCURRENT_CALLS)) as executor:
            return dict(zip(entries, executor.map(try_call, entries), strict=True))

    def _call(
        self, method: str, entry: EntryAddress, path: str, body: bytes | None, type_: type[T]
    ) -> T:
        try:
            response = self._pool.request(
                method,
                f"http://{entry.address}{path}",
                body=body,
                headers={"Content-Type": "application/json"},
                timeout=self._settings.entry_timeout_s,
                redirect=False,
            )
        except HTTPError as error:
            raise EntryCallError(type(error).__name__) from error
        if response.status != _HTTP_OK:
            raise EntryCallError(f"HTTP status {response.status}")
        try:
            return decode_json(response.data, type_)
        except CodecError as error:
            raise EntryCallError("the response body is malformed") from error
