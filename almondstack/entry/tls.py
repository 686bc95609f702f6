"""TLS for callers; reloads the certificate when its files change."""

import io
import os
import socket
import ssl
import threading
from typing import Any

from cheroot.ssl import Adapter

from almondstack.core import PartLogger, SettingsError, TlsSettings
from almondstack.entry.sockets import make_socket_file

__all__ = ["ReloadingTlsAdapter"]

_log = PartLogger("tls")


class ReloadingTlsAdapter(Adapter):
    """Wraps accepted connections with TLS; the handshake runs in the thread of the request.

    Parameters
    ----------
    settings : TlsSettings
        Paths of the certificate, its private key and the certificate authority.

    Raises
    ------
    SettingsError
        The files cannot be loaded.
    """

    def __init__(self, settings: TlsSettings) -> None:
        super().__init__(settings.certificate_file, settings.private_key_file)
        self._settings = settings
        self._lock = threading.Lock()
        self._mtimes_ns = self._read_mtimes()
        self._context = self._make_context()

    def bind(self, sock: socket.socket) -> socket.socket:
        """Return the listening socket unchanged."""
        return sock

    def wrap(self, sock: socket.socket) -> tuple[socket.socket, dict[str, str]]:
        """Return the accepted socket wrapped in TLS, before the handshake."""
        context = self._current_context()
        wrapped = context.wrap_socket(sock, server_side=True, do_handshake_on_connect=False)
        return wrapped, {"HTTPS": "on"}

    def get_environ(self) -> dict[str, str]:
        """Return an empty dictionary: the entry uses no WSGI environment."""
        return {}

    def makefile(self, sock: Any, mode: str = "r", bufsize: int = io.DEFAULT_BUFFER_SIZE) -> Any:
        """Return a file on the wrapped socket."""
        return make_socket_file(sock, mode, bufsize)

    def _current_context(self) -> ssl.SSLContext:
        with self._lock:
            mtimes_ns = self._read_mtimes()
            if mtimes_ns != self._mtimes_ns:
                self._reload(mtimes_ns)
            return self._context

    def _reload(self, mtimes_ns: tuple[int, ...]) -> None:
        try:
            self._context = self._make_context()
        except SettingsError as error:
            _log.error(
                "Certificate reload failed; keeping the previous certificate: %s.", error.detail
            )
            return
        self._mtimes_ns = mtimes_ns
        _log.info("Certificate reloaded.")

    def _read_mtimes(self) -> tuple[int, ...]:
        files = (self._settings.certificate_file, self._settings.private_key_file)
        try:
            return tuple(os.stat(file).st_mtime_ns for file in files)
        except OSError:
            return ()

    def _make_context(self) -> ssl.SSLContext:
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        try:
            context.load_cert_chain(
                self._settings.certificate_file, self._settings.private_key_file
            )
        except (OSError, ssl.SSLError) as error:
            raise SettingsError(
                f"certificate {self._settings.certificate_file} cannot be loaded: {error}"
            ) from error
        return context
