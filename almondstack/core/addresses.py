"""Parses numeric ``IP:PORT`` network addresses."""

import ipaddress

from almondstack.core.errors import SettingsError

__all__ = ["parse_address"]

_MAX_PORT = 65535
_MAX_PORT_DIGITS = 5


def parse_address(text: str) -> tuple[str, int]:
    """Split ``IP:PORT`` into host and port.

    Parameters
    ----------
    text : str
        A numeric IPv4 or bracketed IPv6 address, and a port.

    Raises
    ------
    SettingsError
        The address is not numeric or the port is out of range.

    Examples
    --------
    >>> from almondstack.core import parse_address
    >>> parse_address("127.0.0.1:7101")
    ('127.0.0.1', 7101)
    """
    host, separator, port_text = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    try:
        ipaddress.ip_address(host)
    except ValueError as error:
        raise SettingsError(f"{text!r} is not a numeric IP:PORT address") from error
    is_port = separator and port_text.isascii() and port_text.isdigit()
    # Python rejects the conversion of numbers with thousands of digits.
    is_short = len(port_text) <= _MAX_PORT_DIGITS
    if not is_port or not is_short or not 0 < int(port_text) <= _MAX_PORT:
        raise SettingsError(f"{text!r} has no port between 1 and {_MAX_PORT}")
    return host, int(port_text)
