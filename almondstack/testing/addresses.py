"""Loopback addresses that are separate for each test process."""

import os
import socket

__all__ = ["free_address", "loopback_host"]


def loopback_host() -> str:
    """Return an address in 127.0.0.0/8 that is derived from the id of this process."""
    pid = os.getpid()
    return f"127.{10 + pid % 200}.{pid // 200 % 250}.1"


def free_address() -> str:
    """Return an address ``IP:PORT`` on which nothing listens at the time of the call."""
    with socket.socket() as probe:
        probe.bind((loopback_host(), 0))
        host, port = probe.getsockname()
    return f"{host}:{port}"
