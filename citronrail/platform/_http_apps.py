"""Shared parts of the HTTP applications: bodies, JSON responses, metrics."""

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


class BodyTooLarge(ValueError):
    """The body of a request has more than :data:`MAX_BODY_BYTES` bytes."""


async def read_body(req: requests.Request) -> bytes:
    """Read the body of a request.

    :param req: the request.
    :raises BodyTooLarge: if it exceeds the limit.
    :raises trio.TooSlowError: if it takes longer than
        :data:`BODY_TIMEOUT_S`.
    """
    chunks = []
    size = 0
    with trio.fail_after(BODY_TIMEOUT_S):
        async for chunk in req.stream():
            size += len(chunk)
            if size > MAX_BODY_BYTES:
                raise BodyTooLarge('the body is too large')
            chunks.append(chunk)
    return b''.join(chunks)


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
