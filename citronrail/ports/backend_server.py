"""Port to the backend servers on an agent's host."""

import collections.abc
import contextlib
import dataclasses
import typing

from citronrail.model import messages


@dataclasses.dataclass(frozen=True)
class BackendRequest:
    """A caller's request as sent to the backend server."""

    address: str  # http://IP:PORT
    method: str
    target: str
    headers: messages.Headers
    body: bytes


class BackendResponse(typing.Protocol):
    """A response whose body is streamed."""

    @property
    def status(self) -> int:
        """HTTP status code."""
        ...

    @property
    def headers(self) -> messages.Headers:
        """End-to-end headers of the response."""
        ...

    def chunks(self) -> collections.abc.AsyncIterator[bytes]:
        """Iterate over the body; ends only when it is complete."""
        ...


class BackendServer(typing.Protocol):
    """Runs requests on backend servers."""

    def run(
        self, req: BackendRequest
    ) -> contextlib.AbstractAsyncContextManager[BackendResponse]:
        """Send a request and yield its response.

        :param req: the request to send.
        :raises citronrail.errors.BackendNotReached: if no byte was sent.
        :raises citronrail.errors.BackendFailed: if the request may have run.
        """
        ...
