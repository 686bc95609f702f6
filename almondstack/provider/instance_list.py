"""Client of the platform's list of instances, which lags behind the actual fleet."""

from typing import Protocol

import msgspec
import urllib3
from urllib3.exceptions import HTTPError

from almondstack.core import AlmondError, CodecError, decode_json

__all__ = ["HttpInstanceList", "InstanceList", "InstanceListError", "ListedInstance"]

_HTTP_OK = 200


class InstanceListError(AlmondError):
    """The platform did not return a valid list."""

    code = "instance-list"


class ListedInstance(msgspec.Struct, frozen=True):
    """One instance in the list.

    Parameters
    ----------
    name, zone, rack : str
        Name of the instance and its failure domains.
    role : {"entry", "upstream"}
        Role of the instance.
    address : str
        Numeric address of the instance's HTTP service.
    peer_address : str
        For an entry instance, the address for its peers.
    is_leaving : bool
        True if the platform is removing the instance.
    """

    name: str
    zone: str
    rack: str
    role: str
    address: str
    peer_address: str = ""
    is_leaving: bool = False


class InstanceList(Protocol):
    """Access to the list of instances."""

    def read(self) -> tuple[ListedInstance, ...]:
        """Return the listed instances."""
        ...


class HttpInstanceList:
    """Reads the list of instances over HTTP.

    Parameters
    ----------
    address : str
        Numeric address of the service.
    timeout_s : float
        Time-out of one call, in seconds.
    """

    __slots__ = ("_pool", "_timeout_s", "_url")

    def __init__(self, address: str, timeout_s: float) -> None:
        self._url = f"http://{address}/v1/instances"
        self._timeout_s = timeout_s
        self._pool = urllib3.PoolManager(retries=False)

    def read(self) -> tuple[ListedInstance, ...]:
        """Return the listed instances.

        Raises
        ------
        InstanceListError
            The service did not answer, or not with a valid list.
        """
        try:
            response = self._pool.request("GET", self._url, timeout=self._timeout_s)
        except HTTPError as error:
            raise InstanceListError(type(error).__name__) from error
        if response.status != _HTTP_OK:
            raise InstanceListError(f"instance list answered with status {response.status}")
        try:
            return decode_json(response.data, tuple[ListedInstance, ...])
        except CodecError as error:
            raise InstanceListError(error.detail) from error
