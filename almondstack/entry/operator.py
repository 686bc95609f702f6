"""Handler of ``POST /v1/operator/revocations``, by which operators revoke keys directly.

Explanation
-----------
The log makes a revocation permanent; this handler makes it immediate on every
entry that the operator's program can reach.  Since a revocation only removes
access, the entry applies it before the log confirms it.
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
    """Accepts revocations from operators who prove that they know the token.

    Parameters
    ----------
    parts : EntryParts
        Shared components of the entry.
    """

    __slots__ = ("_token",)

    def __init__(self, parts: EntryParts) -> None:
        super().__init__(parts)
        self._token = read_token(parts.settings.operator_token_file)

    def handle(self, request: HttpRequest) -> HttpReply:
        """Apply a revocation at once and return its confirmation.

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
        _log.info(
            "Operator revoked key %s; requests with it are refused from now on.", message.key_id
        )
        return json_reply(RevocationReply(message.key_id, self._parts.incarnation))
