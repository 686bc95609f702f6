"""Loopback addresses that no other test process uses."""

import os
import socket

__all__ = ["free_address", "loopback_host"]


def loopback_host() -> str:
    """Return an address of 127.0.0.0/8 that is this process's own."""
    pid = os.getpid()
    return f"127.{10 + pid % 200}.{pid // 200 % 250}.1"


def free_address() -> str:
    """Return ``IP:PORT`` on which nothing listens."""
    with socket.socket() as probe:
        probe.bind((loopback_host(), 0))
        host, port = probe.getsockname()
    return f"{host}:{port}"
