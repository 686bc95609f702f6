"""From an admitted call to an upstream's answer: choice, sending, retries, health."""

from almondstack.dispatch.call import Body, BufferedBody, Call, UpstreamAnswer
from almondstack.dispatch.first_come import FirstComeDispatcher
from almondstack.dispatch.headers import end_to_end_headers
from almondstack.dispatch.upstream import HttpUpstreamAnswer, NotSentError, UpstreamClient

__all__ = [
    "Body",
    "BufferedBody",
    "Call",
    "FirstComeDispatcher",
    "HttpUpstreamAnswer",
    "NotSentError",
    "UpstreamAnswer",
    "UpstreamClient",
    "end_to_end_headers",
]
