"""Forwards callers' requests from the process that received them to the owner of the jobs."""

from almondstack.relay.client import OwnerClient
from almondstack.relay.server import RelayServer

__all__ = ["OwnerClient", "RelayServer"]
