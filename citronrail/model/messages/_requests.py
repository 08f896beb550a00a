"""Messages about callers' requests, between entries and agents."""

from citronrail.model import identifiers
from citronrail.model.messages import _registry
from citronrail.model import outcome as outcomes


@_registry.message
class RunRequest:
    """Entry to agent: run a caller's request; frame 1 is the body."""

    request_id: identifiers.RequestId
    attempt: int
    service: identifiers.ServiceName
    method: str
    target: str
    headers: _registry.Headers
    start_before: float
    finish_before: float
    credit: int


@_registry.message
class RequestRefused:
    """Agent to entry: the request was not run and never will be.

    ``leaving`` means that the agent or its backend servers are shutting down,
    ``full`` that there was no free capacity in time.
    """

    request_id: identifiers.RequestId
    attempt: int
    reason: str
    leaving: bool = False
    full: bool = False


@_registry.message
class RequestFailed:
    """Agent to entry: the run failed; its effect is unknown.

    ``ended`` is True when no run of it can still be in progress, and
    ``timed_out`` when its time limit was exceeded.
    """

    request_id: identifiers.RequestId
    attempt: int
    reason: str
    ended: bool = False
    timed_out: bool = False


@_registry.message
class ResponseStart:
    """Agent to entry: status and headers of the response."""

    request_id: identifiers.RequestId
    attempt: int
    status: int
    headers: _registry.Headers


@_registry.message
class ResponseChunk:
    """Agent to entry: chunk number ``seq`` from 0; frame 1 is the data."""

    request_id: identifiers.RequestId
    attempt: int
    seq: int


@_registry.message
class ResponseWhole:
    """Agent to entry: a complete small response; frame 1 is its body.

    It replaces ResponseStart, one chunk unless the body is empty, and
    ResponseEnd.
    """

    request_id: identifiers.RequestId
    attempt: int
    status: int
    headers: _registry.Headers


@_registry.message
class ResponseEnd:
    """Agent to entry: the response is complete, with ``chunks`` chunks."""

    request_id: identifiers.RequestId
    attempt: int
    chunks: int


@_registry.message
class Credit:
    """Entry to agent: allow ``chunks`` more chunks of a response."""

    request_id: identifiers.RequestId
    attempt: int
    chunks: int


@_registry.message
class CancelRequest:
    """Entry to agent: cancel a request; a late copy is refused.

    The agent keeps the cancellation until ``forget_after``.
    """

    request_id: identifiers.RequestId
    attempt: int
    forget_after: float


@_registry.message
class CancelReply:
    """Agent to entry: ``not run`` if the request had not been started."""

    request_id: identifiers.RequestId
    attempt: int
    outcome: outcomes.Outcome
