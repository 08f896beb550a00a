"""Shared parts of the HTTP applications: bodies, JSON responses, metrics."""

import collections.abc
import typing

import msgspec
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing
import trio

from citronrail import observability

JSON_CONTENT_TYPE = 'application/json'
MAX_BODY_BYTES = 4 * 1024 * 1024
BODY_TIMEOUT_S = 60.0
# While a body is awaited, its time limit is read again as often.
READ_CHECK_S = 0.25


class BodyTooLarge(ValueError):
    """The body of a request has more than :data:`MAX_BODY_BYTES` bytes."""


async def read_body(
    req: requests.Request,
    read_by: collections.abc.Callable[[], float] = lambda: float('inf'),
) -> bytes:
    """Read the body of a request.

    :param req: the request.
    :param read_by: returns the local time by which it has to be read, which
        may change meanwhile.
    :raises BodyTooLarge: if it exceeds the limit.
    :raises trio.TooSlowError: if it takes longer than
        :data:`BODY_TIMEOUT_S` or until ``read_by``.
    :raises starlette.requests.ClientDisconnect: if the client leaves.
    """
    ends_at = trio.current_time() + BODY_TIMEOUT_S
    chunks = []
    size = 0
    more = True
    while more:
        message = await _next_message(req, lambda: min(ends_at, read_by()))
        if message['type'] == 'http.disconnect':
            raise requests.ClientDisconnect
        chunks.append(message.get('body', b''))
        size += len(chunks[-1])
        if size > MAX_BODY_BYTES:
            raise BodyTooLarge('the body is too large')
        more = message.get('more_body', False)
    return b''.join(chunks)


async def _next_message(
    req: requests.Request, read_by: collections.abc.Callable[[], float]
) -> collections.abc.MutableMapping[str, typing.Any]:
    while True:
        check_at = trio.current_time() + READ_CHECK_S
        with trio.move_on_at(min(check_at, read_by())):
            return await req.receive()
        if trio.current_time() >= read_by():
            raise trio.TooSlowError


def json_response(
    status: int, body: dict[str, typing.Any]
) -> responses.Response:
    """Create a response with a JSON body."""
    return responses.Response(
        msgspec.json.encode(body), status, media_type=JSON_CONTENT_TYPE
    )


def metrics_app() -> applications.Starlette:
    """Create the application that serves the metrics of this process.

    :returns: an ASGI application.
    """

    async def metrics(_: requests.Request) -> responses.Response:
        return responses.Response(
            observability.exposition(),
            headers={'Content-Type': observability.CONTENT_TYPE},
        )

    return applications.Starlette(routes=[routing.Route('/metrics', metrics)])
