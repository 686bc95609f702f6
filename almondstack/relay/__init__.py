"""Callers' requests passed on from the process that has them to the owner of the jobs."""

from almondstack.relay.client import OwnerClient
from almondstack.relay.server import RelayServer

__all__ = ["OwnerClient", "RelayServer"]
