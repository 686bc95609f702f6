"""Whether a process still listens at its address."""

import socket

from almondstack.core import parse_address

__all__ = ["is_refused"]


def is_refused(address: str, timeout_s: float) -> bool:
    """Whether the instance answers and says that nothing listens at an address.

    Explanation
    -----------
    Silence says nothing: the way may be cut.
    """
    try:
        socket.create_connection(parse_address(address), timeout=timeout_s).close()
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    return False
