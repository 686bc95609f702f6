"""Encodes and authenticates the frames that peers exchange.

Explanation
-----------
A frame names the deployment, the sending and the receiving incarnation, and
carries a message authentication code (HMAC-SHA-256, RFC 2104, cut to 128 bits)
over these and the payload.  The receiver is included because a restarted
process may listen at the address of an earlier incarnation and must not accept
messages for that one.
"""

import hashlib
import hmac
from enum import StrEnum
from pathlib import Path

import msgspec

from almondstack.core import (
    DECODING_ERRORS,
    AlmondError,
    CodecError,
    SettingsError,
    decode_msgpack,
    encode_msgpack,
)
from almondstack.peers.messages import PeerBody

__all__ = [
    "MAX_FRAME_BYTES",
    "Frame",
    "FrameCodec",
    "FrameRefusal",
    "FrameRefusedError",
    "ReceivedFrame",
    "read_secret",
]

MAX_FRAME_BYTES = 1 << 20
_VERSION = 1
_MAC_BYTES = 16


class FrameRefusal(StrEnum):
    """Why a frame was refused."""

    OVERSIZED = "oversized"
    GARBAGE = "garbage"
    OTHER_VERSION = "other-version"
    OTHER_DEPLOYMENT = "other-deployment"
    WRONG_KEY = "wrong-key"
    OTHER_RECEIVER = "other-receiver"


class FrameRefusedError(AlmondError):
    """A received frame is malformed, not authentic, or not for this process."""

    code = "frame-refused"

    def __init__(self, refusal: FrameRefusal) -> None:
        super().__init__(refusal.value)
        self._refusal = refusal

    @property
    def refusal(self) -> FrameRefusal:
        """The typed reason."""
        return self._refusal


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """A frame on the wire; ``receiver`` is empty while only the peer's address is known."""

    version: int
    deployment: str
    sender: str
    receiver: str
    mac: bytes
    payload: bytes


class ReceivedFrame(msgspec.Struct, frozen=True):
    """An accepted frame; ``is_addressed`` is true if it names its receiver."""

    sender: str
    is_addressed: bool
    body: PeerBody


def read_secret(path: str | None) -> bytes:
    """Return the shared secret of the deployment; empty if ``path`` is None.

    Raises
    ------
    SettingsError
        The file cannot be read.
    """
    if path is None:
        return b""
    try:
        return Path(path).read_bytes().strip()
    except OSError as error:
        raise SettingsError(f"cannot read the secret file {path}: {error.strerror}") from error


class FrameCodec:
    """Encodes frames sent by one incarnation and decodes frames sent to it.

    Parameters
    ----------
    deployment, incarnation : str
        This process: sender of encoded frames, receiver of decoded ones.
    secret : bytes
        Key of the authentication code, shared by all processes of the deployment.

    Examples
    --------
    >>> from almondstack.peers.frames import FrameCodec
    >>> from almondstack.peers.messages import Revoked
    >>> sender, receiver = FrameCodec("d", "e1", b"s"), FrameCodec("d", "e2", b"s")
    >>> receiver.decode(sender.encode("e2", Revoked(("k1",)))).sender
    'e1'
    """

    __slots__ = ("_deployment", "_incarnation", "_secret")

    def __init__(self, deployment: str, incarnation: str, secret: bytes) -> None:
        self._deployment = deployment
        self._incarnation = incarnation
        self._secret = secret

    def encode(self, receiver: str, body: PeerBody) -> bytes:
        """Return an authenticated frame for ``receiver``; its name is empty if unknown."""
        payload = encode_msgpack(body)
        mac = self._mac(self._incarnation, receiver, payload)
        return encode_msgpack(
            Frame(_VERSION, self._deployment, self._incarnation, receiver, mac, payload)
        )

    def decode(self, data: bytes) -> ReceivedFrame:
        """Authenticate a frame and decode its body.

        Raises
        ------
        FrameRefusedError
            The frame is larger than ``MAX_FRAME_BYTES``, malformed, of another
            version or deployment, not authentic, or not for this process.
        """
        if len(data) > MAX_FRAME_BYTES:
            raise FrameRefusedError(FrameRefusal.OVERSIZED)
        frame = _decode_frame(data)
        if frame.version != _VERSION:
            raise FrameRefusedError(FrameRefusal.OTHER_VERSION)
        if frame.deployment != self._deployment:
            raise FrameRefusedError(FrameRefusal.OTHER_DEPLOYMENT)
        expected = self._mac(frame.sender, frame.receiver, frame.payload)
        if not hmac.compare_digest(expected, frame.mac):
            raise FrameRefusedError(FrameRefusal.WRONG_KEY)
        if frame.receiver not in ("", self._incarnation) or frame.sender == self._incarnation:
            raise FrameRefusedError(FrameRefusal.OTHER_RECEIVER)
        return ReceivedFrame(frame.sender, bool(frame.receiver), _decode_body(frame.payload))

    def _mac(self, sender: str, receiver: str, payload: bytes) -> bytes:
        head = encode_msgpack((_VERSION, self._deployment, sender, receiver))
        return hmac.digest(self._secret, head + payload, hashlib.sha256)[:_MAC_BYTES]


def _decode_frame(data: bytes) -> Frame:
    try:
        return decode_msgpack(data, Frame)
    except CodecError as error:
        raise FrameRefusedError(FrameRefusal.GARBAGE) from error


def _decode_body(payload: bytes) -> PeerBody:
    try:
        return msgspec.msgpack.decode(payload, type=PeerBody)
    except DECODING_ERRORS as error:
        raise FrameRefusedError(FrameRefusal.GARBAGE) from error
