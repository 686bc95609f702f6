"""``POST /v1/operator/revocations``: a revocation straight from an operator.

Explanation
-----------
The log makes a revocation last; this path makes it immediate on every entry
that the operator's program can reach.  Since a revocation only removes, the
entry honours it before the log confirms it.
"""

from almondstack.core import (
    CodecError,
    PartLogger,
    Reason,
    RequestError,
    decode_json,
    read_token,
)
from almondstack.entry.http import HttpReply, HttpRequest, json_reply
from almondstack.entry.parts import EntryParts, Handler
from almondstack.model import RevocationReply, RevocationRequest, is_right_proof

__all__ = ["OperatorHandler"]

_MAX_BODY_BYTES = 4096

_log = PartLogger("operator")


class OperatorHandler(Handler):
    """Takes revocations from operators who know the token.

    Parameters
    ----------
    parts : EntryParts
        The parts of the entry.
    """

    __slots__ = ("_token",)

    def __init__(self, parts: EntryParts) -> None:
        super().__init__(parts)
        self._token = read_token(parts.settings.operator_token_file)

    def handle(self, request: HttpRequest) -> HttpReply:
        """Honour a revocation from now on.

        Raises
        ------
        RequestError
            The message is malformed or its proof is wrong.
        """
        data = b"".join(request.body.load(_MAX_BODY_BYTES).chunks())
        try:
            message = decode_json(data, RevocationRequest)
        except CodecError as error:
            raise RequestError(Reason.BAD_REQUEST, error.detail) from error
        if not is_right_proof(self._token, message.key_id, message.proof):
            raise RequestError(Reason.KEY_UNKNOWN)
        self._parts.revocations.add(message.key_id)
        self._parts.metrics.count("operator.revocations")
        _log.info("Key %s is revoked.", message.key_id)
        return json_reply(RevocationReply(message.key_id, self._parts.incarnation))
