"""Submits requests as a client behind a load balancer and records their outcomes."""

import hashlib
import itertools
import time
from enum import Enum, auto

import msgspec
import urllib3
from urllib3.exceptions import HTTPError, NewConnectionError

from almondstack.bench.outcome_check import CallerEnd, CallerRecord
from almondstack.core import CodecError, decode_json, new_request_id
from almondstack.standin.upstream_handler import WorkAnswer

__all__ = ["Caller", "WorkItem"]

_ANSWER_GRACE_S = 5.0
_CONNECT_TIMEOUT_S = 1.0
_RETRY_PAUSE_S = 0.1
_MAX_ROUNDS = 5
_RETRY_ELSEWHERE = frozenset({"shutting-down", "not-ready", "too-many-connections", "fenced"})


class WorkItem(msgspec.Struct, frozen=True, kw_only=True):
    """One piece of work that a caller submits.

    Parameters
    ----------
    work_id, team, queue, zone : str
        Its id and team, and the queue and zone to which it is submitted.
    key : str or None
        The team's key; None for an open queue.
    work_ms : int
        Run time on an upstream, in milliseconds.
    body : bytes
        Body of the request.
    is_idempotent, is_urgent, has_id : bool
        True if the request declares idempotent work, is urgent, or carries an
        ``Idempotency-Key``.
    deadline_ms : int
        Deadline sent with the request, in milliseconds.
    intended_s : float
        Intended time of sending, in monotonic seconds.
    answer_bytes : int
        Length of the padding of the answer, in bytes.
    """

    work_id: str
    team: str
    queue: str
    zone: str
    key: str | None = None
    work_ms: int = 10
    body: bytes = b"invoice"
    is_idempotent: bool = False
    is_urgent: bool = False
    has_id: bool = True
    deadline_ms: int = 10_000
    intended_s: float = 0.0
    answer_bytes: int = 0

    @property
    def key_id(self) -> str:
        """Public part of the key."""
        return (self.key or "").partition(".")[0]


class _NextAction(Enum):
    """How a caller continues after an attempt."""

    STOP = auto()
    RETRY_AS_NEW = auto()
    RETRY_WITH_SAME_ID = auto()


class Caller:
    """Submits work to the entries of a zone in round-robin order.

    Parameters
    ----------
    entries : dict of str to list of str
        Addresses at which the entries of each zone serve callers.
    connections : int
        Maximum idle connections kept for each address.
    """

    __slots__ = ("_entries", "_pool", "_round_robin")

    def __init__(self, entries: dict[str, list[str]], connections: int = 64) -> None:
        self._entries = entries
        self._pool = urllib3.PoolManager(
            num_pools=64, maxsize=connections, retries=False, block=False
        )
        self._round_robin = itertools.count()

    def submit(self, item: WorkItem) -> CallerRecord:
        """Submit ``item`` and return its outcome.

        Explanation
        -----------
        If an entry cannot be reached, or refuses the request because it is
        starting, shutting down, fenced or out of connections, the request goes
        to the next entry.  A connection that breaks before the response leaves
        the outcome unknown: work with an id is sent again with the same id,
        idempotent work is sent again, and any other work ends as broken.
        After an attempt with unknown outcome, such a refusal does not turn the
        outcome into "not run".
        """
        addresses = self._entries[item.zone]
        first = next(self._round_robin)
        headers = _headers(item)
        is_outcome_unknown = False
        record = _record(item, CallerEnd.NOT_RUN, reason="no-entry")
        for number in range(len(addresses) * _MAX_ROUNDS):
            address = addresses[(first + number) % len(addresses)]
            record, action = self._attempt(address, item, headers)
            if action is _NextAction.STOP:
                return record
            is_outcome_unknown = is_outcome_unknown or action is _NextAction.RETRY_WITH_SAME_ID
            if not is_outcome_unknown:
                headers = _headers(item)
            if number % len(addresses) == len(addresses) - 1:
                time.sleep(_RETRY_PAUSE_S)
        return (
            msgspec.structs.replace(record, end=CallerEnd.BROKEN) if is_outcome_unknown else record
        )

    def _attempt(
        self, address: str, item: WorkItem, headers: dict[str, str]
    ) -> tuple[CallerRecord, _NextAction]:
        try:
            response = self._pool.request(
                "POST",
                f"http://{address}/v1/queues/{item.queue}/requests",
                body=item.body,
                headers=headers,
                timeout=urllib3.Timeout(
                    connect=_CONNECT_TIMEOUT_S, read=item.deadline_ms / 1000 + _ANSWER_GRACE_S
                ),
                redirect=False,
                preload_content=False,
                decode_content=False,
            )
        except (NewConnectionError, urllib3.exceptions.ConnectTimeoutError):
            return _record(item, CallerEnd.NOT_RUN, reason="no-entry"), _NextAction.RETRY_AS_NEW
        except urllib3.exceptions.ReadTimeoutError:
            return _record(item, CallerEnd.NONE, reason="no-answer"), _NextAction.STOP
        except HTTPError as error:
            may_resend = item.has_id or item.is_idempotent
            record = _record(item, CallerEnd.BROKEN, reason=type(error).__name__)
            return record, _NextAction.RETRY_WITH_SAME_ID if may_resend else _NextAction.STOP
        return _read_outcome(item, response)


def _headers(item: WorkItem) -> dict[str, str]:
    headers = {
        "Almondstack-Deadline-Ms": str(item.deadline_ms),
        "Almondstack-Idempotent": "yes" if item.is_idempotent else "no",
        "Standin-Work-Id": item.work_id,
        "Standin-Team": item.team,
        "Standin-Key": item.key_id,
        "Standin-Idempotent": "yes" if item.is_idempotent else "no",
        "Standin-Work-Ms": str(item.work_ms),
        "Standin-Answer-Bytes": str(item.answer_bytes),
    }
    if item.key is not None:
        headers["Authorization"] = f"Bearer {item.key}"
    if item.is_urgent:
        headers["Almondstack-Urgent"] = "yes"
    if item.has_id:
        headers["Idempotency-Key"] = new_request_id()
    return headers


def _read_outcome(
    item: WorkItem, response: urllib3.BaseHTTPResponse
) -> tuple[CallerRecord, _NextAction]:
    outcome = response.headers.get("Almondstack-Outcome", "")
    reason = response.headers.get("Almondstack-Reason", "")
    status = response.status
    try:
        body = response.read(decode_content=False)
    except HTTPError as error:
        return _record(item, CallerEnd.BROKEN, status, type(error).__name__), _NextAction.STOP
    finally:
        response.release_conn()
    if outcome not in ("answered", "not-run", "unknown"):
        return _record(item, CallerEnd.NONE, status, reason or "no-outcome"), _NextAction.STOP
    record = _record(item, CallerEnd(outcome), status, reason)
    if outcome == "answered":
        return (
            msgspec.structs.replace(record, is_right=_is_right_answer(item, status, body)),
            _NextAction.STOP,
        )
    may_retry = outcome == "not-run" and reason in _RETRY_ELSEWHERE
    return record, _NextAction.RETRY_AS_NEW if may_retry else _NextAction.STOP


def _is_right_answer(item: WorkItem, status: int, body: bytes) -> bool:
    """Return True if an answer is complete and belongs to ``item``.

    Explanation
    -----------
    Status 503 with an empty body is the complete answer of an upstream that
    refuses the request.
    """
    if status == 503 and not body:
        return True
    try:
        answer = decode_json(body, WorkAnswer)
    except CodecError:
        return False
    digest = hashlib.sha256(item.body).hexdigest()
    is_own = (answer.work_id, answer.digest) == (item.work_id, digest)
    return is_own and len(answer.padding) == item.answer_bytes


def _record(item: WorkItem, end: CallerEnd, status: int = 0, reason: str = "") -> CallerRecord:
    return CallerRecord(
        work_id=item.work_id,
        team=item.team,
        queue=item.queue,
        end=end,
        status=status,
        reason=reason,
        intended_s=item.intended_s,
        ended_s=time.monotonic(),
    )
