"""Requests of callers, their options and the responses to them."""

import dataclasses
import typing
import uuid

from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import outcome as outcomes

DEFAULT_TIMEOUT_S = 30.0
MAX_TIMEOUT_S = 3600.0
EVENT_STREAM_TIMEOUT_S = (
    86_400.0  # of event streams without an explicit timeout
)
EVENT_STREAM_TYPE = 'text/event-stream'
MAX_KEY_LENGTH = 200

# Methods that RFC 9110 section 9.2.2 defines as idempotent.
_IDEMPOTENT_METHODS = frozenset(
    ('GET', 'HEAD', 'OPTIONS', 'TRACE', 'PUT', 'DELETE')
)


@dataclasses.dataclass(frozen=True)
class CallerRequest:
    """A request received from a caller.

    ``target`` is the path below the service with the query string, as sent.
    Header names are in lower case.
    """

    request_id: identifiers.RequestId
    service: identifiers.ServiceName
    method: str
    target: str
    headers: messages.Headers = ()
    body: bytes = b''

    def header(self, name: str) -> str:
        """Return the value of a header, '' if it is absent.

        :param name: name in lower case.
        """
        for key, value in self.headers:
            if key == name:
                return value
        return ''


@dataclasses.dataclass(frozen=True)
class RequestOptions:
    """Options that a request sets in its headers.

    ``timeout_s`` limits the time to the end of the response. An event stream
    without an explicit timeout only has to start within it, which
    ``open_ended`` marks.
    """

    timeout_s: float
    idempotent: bool
    concurrent: bool
    key: str
    exclusive: str
    open_ended: bool


@dataclasses.dataclass(frozen=True)
class Problem:
    """An error response of citronrail, sent as problem+json (RFC 9457)."""

    status: int
    title: str
    detail: str
    outcome: outcomes.Outcome
    retry_after_s: int = 0


class ResponseWriter(typing.Protocol):
    """Writes the response to one caller.

    The connection is aborted if :meth:`finish` is not called.
    """

    async def start(
        self,
        status: int,
        headers: messages.Headers,
        outcome: outcomes.Outcome,
    ) -> None:
        """Send status and headers."""
        ...

    async def write(self, data: bytes) -> None:
        """Send body data; blocks while the caller reads slowly."""
        ...

    async def finish(self) -> None:
        """Complete the response."""
        ...

    async def problem(self, problem: Problem) -> None:
        """Send a complete response that describes a problem."""
        ...


class BadRequest(ValueError):
    """A request header has an invalid value."""


def parse_options(req: CallerRequest) -> RequestOptions:
    """Parse the options of a request from its headers.

    :param req: the request.
    :returns: its options.
    :raises BadRequest: if a header has an invalid value.
    """
    timeout_header = req.header('citronrail-timeout-ms')
    timeout_s = _parse_timeout_s(timeout_header)
    return RequestOptions(
        timeout_s=timeout_s,
        idempotent=_parse_flag(
            req, 'citronrail-idempotent', req.method in _IDEMPOTENT_METHODS
        ),
        concurrent=_parse_flag(req, 'citronrail-concurrent', False),
        key=_parse_idempotency_key(req.header('idempotency-key')),
        exclusive=_parse_exclusive_key(req.header('citronrail-exclusive')),
        open_ended=not timeout_header
        and EVENT_STREAM_TYPE in req.header('accept'),
    )


def is_event_stream(headers: messages.Headers) -> bool:
    """Return whether a response is an event stream (server-sent events).

    :param headers: headers of the response.
    """
    return any(
        name.lower() == 'content-type'
        and value.lower().startswith(EVENT_STREAM_TYPE)
        for name, value in headers
    )


def _parse_timeout_s(text: str) -> float:
    if not text:
        return DEFAULT_TIMEOUT_S
    if not text.isascii() or not text.isdigit() or len(text) > 9:
        raise BadRequest('Citronrail-Timeout-Ms must be a whole number')
    if int(text) == 0:
        raise BadRequest('Citronrail-Timeout-Ms must be above 0')
    return min(int(text) / 1000, MAX_TIMEOUT_S)


def _parse_flag(req: CallerRequest, name: str, default: bool) -> bool:
    text = req.header(name).lower()
    if text not in ('', 'true', 'false'):
        raise BadRequest(f'{name} must be true or false')
    return text == 'true' if text else default


def _parse_idempotency_key(text: str) -> str:
    """Validate a key; it must be a UUIDv7, which holds its creation time."""
    key = text.strip().strip('"')
    if not key:
        return ''
    try:
        parsed = uuid.UUID(key)
    except ValueError as exc:
        raise BadRequest('Idempotency-Key must be a UUID') from exc
    if parsed.version != 7:
        raise BadRequest('Idempotency-Key must be a UUID of version 7')
    return str(parsed)


def _parse_exclusive_key(text: str) -> str:
    if len(text) > MAX_KEY_LENGTH:
        raise BadRequest('Citronrail-Exclusive is too long')
    return text


@dataclasses.dataclass(frozen=True)
class OpenRequest:
    """A request in progress at this entry.

    ``worker`` is the agent of the latest attempt, or ''; ``attempt`` is the
    number of that attempt, 0 before the first. ``started_at`` is a local
    time in seconds.
    """

    request_id: identifiers.RequestId
    service: identifiers.ServiceName
    started_at: float
    worker: str = ''
    attempt: int = 0
