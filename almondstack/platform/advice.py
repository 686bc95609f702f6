"""HTTP client of the platform's advice service, which decides which workers may run a step."""

import msgspec

from almondstack.control.errors import AdviceError
from almondstack.core import CodecError, decode_with
from almondstack.core.http_client import HttpClient, NoAnswerError, NotSentError
from almondstack.platform.wire import AdviceReplyWire

__all__ = ["HttpAdvice"]

_OK = 200
_TIMEOUT_S = 10.0
"""A call may name a hundred workers, and the service needs processing time for each."""

_reply_decoder = msgspec.json.Decoder(AdviceReplyWire)


class HttpAdvice:
    """Client of the advice service; implements ``AdviceService``.

    Parameters
    ----------
    address : str
        Address of the service as ``IP:PORT``.
    """

    __slots__ = ("_caller",)

    def __init__(self, address: str) -> None:
        self._caller = HttpClient(address)

    def use_address(self, address: str) -> None:
        """Send later calls to another address."""
        self._caller.use_address(address)

    def advise(self, step: str, workers: list[str]) -> dict[str, str]:
        """Return a ticket for each worker that may run the step.

        Raises
        ------
        AdviceError
            The call failed, or its answer is not valid.
        """
        body = msgspec.json.encode({"step": step, "workers": workers})
        headers = {"Content-Type": "application/json"}
        try:
            reply = self._caller.call("POST", "/almondstack/advise", _TIMEOUT_S, body, headers)
        except (NotSentError, NoAnswerError) as error:
            raise AdviceError(str(error)) from error
        if reply.status != _OK:
            raise AdviceError(f"advice service answered with status {reply.status}")
        try:
            return dict(decode_with(_reply_decoder, reply.body).allowed)
        except CodecError as error:
            raise AdviceError(str(error)) from error
