"""Callers' requests, their options and the answers to them."""

import dataclasses
import typing
import uuid

from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import outcome as outcomes

DEFAULT_TIMEOUT_S = 30.0
MAX_TIMEOUT_S = 3600.0
FEED_TIMEOUT_S = 86_400.0  # a feed without a time limit of its own
FEED_TYPE = 'text/event-stream'
MAX_KEY_LENGTH = 200

# Methods that RFC 9110 section 9.2.2 defines as idempotent.
_IDEMPOTENT_METHODS = frozenset(
    ('GET', 'HEAD', 'OPTIONS', 'TRACE', 'PUT', 'DELETE')
)


@dataclasses.dataclass(frozen=True)
class CallerRequest:
    """A request as it came from a caller.

    ``target`` is the path below the service with its query, as sent.
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
    """What the headers of a request ask for.

    ``timeout_s`` is the time to the end of the answer; a feed without a
    limit of its own must only begin within it, and ``open_ended`` is set.
    """

    timeout_s: float
    idempotent: bool
    concurrent: bool
    key: str
    exclusive: str
    open_ended: bool


@dataclasses.dataclass(frozen=True)
class Problem:
    """An answer of citronrail itself, sent as problem+json (RFC 9457)."""

    status: int
    title: str
    detail: str
    outcome: outcomes.Outcome
    retry_after_s: int = 0


class Respond(typing.Protocol):
    """The way back to one caller.

    A caller's connection that gets no :meth:`finish` is broken off.
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
        """Send a part of the body; waits for a slow caller."""
        ...

    async def finish(self) -> None:
        """End the answer normally."""
        ...

    async def problem(self, problem: Problem) -> None:
        """Send a whole answer that describes a problem."""
        ...


class BadRequest(ValueError):
    """Headers of a request that cannot be understood."""


def options_of(req: CallerRequest) -> RequestOptions:
    """Read the options of a request.

    :param req: the request.
    :returns: its options.
    :raises BadRequest: if a header has an unknown form.
    """
    explicit = req.header('citronrail-timeout-ms')
    timeout_s = _timeout_s(explicit)
    return RequestOptions(
        timeout_s=timeout_s,
        idempotent=_flag(
            req, 'citronrail-idempotent', req.method in _IDEMPOTENT_METHODS
        ),
        concurrent=_flag(req, 'citronrail-concurrent', False),
        key=_idempotency_key(req.header('idempotency-key')),
        exclusive=_exclusive_key(req.header('citronrail-exclusive')),
        open_ended=not explicit and FEED_TYPE in req.header('accept'),
    )


def is_feed(headers: messages.Headers) -> bool:
    """Tell whether an answer is a feed of events.

    :param headers: headers of the answer.
    """
    return any(
        name.lower() == 'content-type' and value.lower().startswith(FEED_TYPE)
        for name, value in headers
    )


def _timeout_s(text: str) -> float:
    if not text:
        return DEFAULT_TIMEOUT_S
    if not text.isascii() or not text.isdigit() or len(text) > 9:
        raise BadRequest('Citronrail-Timeout-Ms must be a whole number')
    if int(text) == 0:
        raise BadRequest('Citronrail-Timeout-Ms must be above 0')
    return min(int(text) / 1000, MAX_TIMEOUT_S)


def _flag(req: CallerRequest, name: str, default: bool) -> bool:
    text = req.header(name).lower()
    if text not in ('', 'true', 'false'):
        raise BadRequest(f'{name} must be true or false')
    return text == 'true' if text else default


def _idempotency_key(text: str) -> str:
    """Check a key; UUIDv7 carries the time of its birth."""
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


def _exclusive_key(text: str) -> str:
    if len(text) > MAX_KEY_LENGTH:
        raise BadRequest('Citronrail-Exclusive is too long')
    return text


@dataclasses.dataclass(frozen=True)
class OpenRequest:
    """A request in progress at this entry.

    ``worker`` is the agent of the latest attempt, or ''; ``attempt`` its
    number, 0 before the first. ``started_at`` is local time in seconds.
    """

    request_id: identifiers.RequestId
    service: identifiers.ServiceName
    started_at: float
    worker: str = ''
    attempt: int = 0
