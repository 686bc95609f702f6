"""A caller behind a balancer: one request, and the truth of how it ended."""

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

_GRACE_S = 5.0
_CONNECT_TIMEOUT_S = 1.0
_PAUSE_S = 0.1
_ROUNDS = 5
_TRY_ANOTHER = frozenset({"shutting-down", "not-ready", "too-many-connections", "fenced"})


class WorkItem(msgspec.Struct, frozen=True, kw_only=True):
    """One piece of work that a caller submits.

    Parameters
    ----------
    work_id, team, queue, zone : str
        What it is, whose, and where it is submitted.
    key : str or None
        The team's key; None for an open queue.
    work_ms : int
        How long it runs on an upstream, in milliseconds.
    body : bytes
        Body of the request.
    is_idempotent, is_urgent, has_id : bool
        Which of the callers' headers it carries.
    deadline_ms : int
        Its deadline, in milliseconds.
    intended_s : float
        When it should be sent, in monotonic seconds.
    answer_bytes : int
        Length of the padding of the answer.
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


class _Next(Enum):
    """What a caller may do after an attempt."""

    STOP = auto()
    AS_NEW = auto()
    AS_REPEAT = auto()


class Caller:
    """Submits work to the entries of one zone in turn.

    Parameters
    ----------
    entries : dict of str to list of str
        Callers' addresses of the entries of each zone.
    """

    __slots__ = ("_entries", "_pool", "_turn")

    def __init__(self, entries: dict[str, list[str]], connections: int = 64) -> None:
        self._entries = entries
        self._pool = urllib3.PoolManager(
            num_pools=64, maxsize=connections, retries=False, block=False
        )
        self._turn = itertools.count()

    def submit(self, item: WorkItem) -> CallerRecord:
        """Submit ``item`` and return how it ended.

        Explanation
        -----------
        An entry that refuses because it comes or goes is left for the next
        one.  A connection that breaks before the answer leaves the outcome
        open: work with an id is sent again with the same id, idempotent work
        is sent again, and anything else ends as broken.  Once an attempt is
        open, a later refusal of the balancer's kind does not close it.
        """
        addresses = self._entries[item.zone]
        first = next(self._turn)
        headers = _headers(item)
        is_open = False
        record = _record(item, CallerEnd.NOT_RUN, reason="no-entry")
        for number in range(len(addresses) * _ROUNDS):
            address = addresses[(first + number) % len(addresses)]
            record, step = self._attempt(address, item, headers)
            if step is _Next.STOP:
                return record
            is_open = is_open or step is _Next.AS_REPEAT
            if not is_open:
                headers = _headers(item)
            if number % len(addresses) == len(addresses) - 1:
                time.sleep(_PAUSE_S)
        return msgspec.structs.replace(record, end=CallerEnd.BROKEN) if is_open else record

    def _attempt(
        self, address: str, item: WorkItem, headers: dict[str, str]
    ) -> tuple[CallerRecord, _Next]:
        try:
            response = self._pool.request(
                "POST",
                f"http://{address}/v1/queues/{item.queue}/requests",
                body=item.body,
                headers=headers,
                timeout=urllib3.Timeout(
                    connect=_CONNECT_TIMEOUT_S, read=item.deadline_ms / 1000 + _GRACE_S
                ),
                redirect=False,
                preload_content=False,
                decode_content=False,
            )
        except (NewConnectionError, urllib3.exceptions.ConnectTimeoutError):
            return _record(item, CallerEnd.NOT_RUN, reason="no-entry"), _Next.AS_NEW
        except urllib3.exceptions.ReadTimeoutError:
            return _record(item, CallerEnd.NONE, reason="no-answer"), _Next.STOP
        except HTTPError as error:
            may_repeat = item.has_id or item.is_idempotent
            record = _record(item, CallerEnd.BROKEN, reason=type(error).__name__)
            return record, _Next.AS_REPEAT if may_repeat else _Next.STOP
        return _read_end(item, response)


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


def _read_end(item: WorkItem, response: urllib3.BaseHTTPResponse) -> tuple[CallerRecord, _Next]:
    outcome = response.headers.get("Almondstack-Outcome", "")
    reason = response.headers.get("Almondstack-Reason", "")
    status = response.status
    try:
        body = response.read(decode_content=False)
    except HTTPError as error:
        return _record(item, CallerEnd.BROKEN, status, type(error).__name__), _Next.STOP
    finally:
        response.release_conn()
    if outcome not in ("answered", "not-run", "unknown"):
        return _record(item, CallerEnd.NONE, status, reason or "no-outcome"), _Next.STOP
    record = _record(item, CallerEnd(outcome), status, reason)
    if outcome == "answered":
        return msgspec.structs.replace(record, is_right=_is_right(item, status, body)), _Next.STOP
    may_retry = outcome == "not-run" and reason in _TRY_ANOTHER
    return record, _Next.AS_NEW if may_retry else _Next.STOP


def _is_right(item: WorkItem, status: int, body: bytes) -> bool:
    """Return True if an answer is whole and belongs to ``item``.

    Explanation
    -----------
    A status 503 without a body is the whole answer of an upstream that refuses.
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
