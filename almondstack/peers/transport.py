"""Sends and receives messages between peers over nng push and pull sockets.

Explanation
-----------
Each process listens on one pull socket and has one push socket for each peer
that it sends to.  Sending does not block and a message may be lost; the protocols
above tolerate that.  The library opens connections and reconnects.
"""

import threading
from collections.abc import Callable
from pathlib import Path

import pynng
from pynng.exceptions import Closed, NNGException, Timeout

from almondstack.core import LocalMetrics, PartLogger, TlsSettings
from almondstack.peers.frames import MAX_FRAME_BYTES

__all__ = ["PeerTransport"]

_RECV_TIMEOUT_MS = 500
_MIN_RECONNECT_MS = 50
_MAX_RECONNECT_MS = 2000
_SEND_BUFFER_MESSAGES = 64
_HARD_LIMIT_BYTES = 4 * MAX_FRAME_BYTES

_log = PartLogger("peers")


class PeerTransport:
    """Sends messages to peer addresses and passes received ones to a callback.

    Parameters
    ----------
    listen : str
        Numeric address to listen on.
    deployment : str
        Name that the certificates of peers must contain if TLS is used.
    tls : TlsSettings or None
        Files of the certificate, its private key and the authority; None disables TLS.
    receive : callable
        Called with each message in the receiving thread.
    metrics : LocalMetrics
        Counts messages and bytes.
    """

    __slots__ = (
        "_deployment",
        "_file_times",
        "_listen",
        "_lock",
        "_metrics",
        "_pull",
        "_pushes",
        "_receive",
        "_stop",
        "_thread",
        "_tls",
    )

    def __init__(
        self,
        listen: str,
        deployment: str,
        tls: TlsSettings | None,
        receive: Callable[[bytes], None],
        metrics: LocalMetrics,
    ) -> None:
        self._listen = listen
        self._deployment = deployment
        self._tls = tls
        self._receive = receive
        self._metrics = metrics
        self._lock = threading.Lock()
        self._pushes: dict[str, pynng.Push0] = {}
        self._file_times = self._read_file_times()
        self._pull = self._open_pull()
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="peers-receive", daemon=True)

    def start(self) -> None:
        """Start the receiving thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the receiving thread and close all sockets."""
        self._stop.set()
        self._pull.close()
        with self._lock:
            for push in self._pushes.values():
                push.close()
            self._pushes.clear()

    def send(self, address: str, data: bytes) -> bool:
        """Queue a message without blocking; return False if the socket did not accept it."""
        try:
            self._push_to(address).send(data, block=False)
        except NNGException:
            self._metrics.count("peers.send-failed")
            return False
        self._metrics.count("peers.sent")
        self._metrics.count("peers.sent-bytes", len(data))
        return True

    def is_connected(self, address: str) -> bool:
        """Return True if there is a connection to ``address``."""
        with self._lock:
            push = self._pushes.get(address)
        return push is not None and bool(push.pipes)

    def close_all_except(self, addresses: set[str]) -> None:
        """Close the push sockets to all addresses that are not in ``addresses``."""
        with self._lock:
            dropped = [item for item in self._pushes if item not in addresses]
            sockets = [self._pushes.pop(item) for item in dropped]
        for push in sockets:
            push.close()

    def reload_certificates(self) -> bool:
        """Reopen the sockets if a certificate file has changed; return whether one has.

        Explanation
        -----------
        Push sockets are opened again by the next message to their address.
        """
        times = self._read_file_times()
        if times == self._file_times:
            return False
        self._file_times = times
        old, self._pull = self._pull, None
        old.close()
        self._pull = self._open_pull()
        self.close_all_except(set())
        self._metrics.count("peers.certificates-reloaded")
        _log.info("Reloaded the changed TLS certificate files and closed all peer connections.")
        return True

    def _run(self) -> None:
        while not self._stop.is_set():
            pull = self._pull
            try:
                data = pull.recv() if pull is not None else b""
            except Timeout:
                continue
            except Closed:
                # Closed by stop(), or by reload_certificates() until it has opened the next one.
                self._stop.wait(0.01)
                continue
            except NNGException:
                self._metrics.count("peers.receive-failed")
                continue
            if data:
                self._metrics.count("peers.received")
                self._metrics.count("peers.received-bytes", len(data))
                self._receive(data)

    def _push_to(self, address: str) -> pynng.Push0:
        with self._lock:
            push = self._pushes.get(address)
            if push is None:
                push = self._pushes[address] = self._open_push(address)
            return push

    def _open_push(self, address: str) -> pynng.Push0:
        push = pynng.Push0(
            send_buffer_size=_SEND_BUFFER_MESSAGES,
            reconnect_time_min=_MIN_RECONNECT_MS,
            reconnect_time_max=_MAX_RECONNECT_MS,
            tls_config=self._tls_config(pynng.TLSConfig.MODE_CLIENT),
        )
        push.dial(self._url(address), block=False)
        return push

    def _open_pull(self) -> pynng.Pull0:
        pull = pynng.Pull0(
            recv_timeout=_RECV_TIMEOUT_MS,
            recv_max_size=_HARD_LIMIT_BYTES,
            tls_config=self._tls_config(pynng.TLSConfig.MODE_SERVER),
        )
        pull.listen(self._url(self._listen))
        return pull

    def _url(self, address: str) -> str:
        return f"{'tls+tcp' if self._tls else 'tcp'}://{address}"

    def _tls_config(self, mode: int) -> pynng.TLSConfig | None:
        if self._tls is None:
            return None
        return pynng.TLSConfig(
            mode,
            server_name=self._deployment if mode == pynng.TLSConfig.MODE_CLIENT else None,
            ca_string=Path(self._tls.authority_file).read_text(),
            own_key_string=Path(self._tls.private_key_file).read_text(),
            own_cert_string=Path(self._tls.certificate_file).read_text(),
            auth_mode=pynng.TLSConfig.AUTH_MODE_REQUIRED,
        )

    def _read_file_times(self) -> tuple[int, ...]:
        if self._tls is None:
            return ()
        files = (self._tls.certificate_file, self._tls.private_key_file, self._tls.authority_file)
        return tuple(Path(file).stat().st_mtime_ns for file in files)
