"""Port to the backend servers beside an agent."""

import collections.abc
import contextlib
import dataclasses
import typing

from citronrail.model import messages


@dataclasses.dataclass(frozen=True)
class BackendRequest:
    """A caller's request as the backend server gets it."""

    address: str  # http://IP:PORT
    method: str
    target: str
    headers: messages.Headers
    body: bytes


class BackendResponse(typing.Protocol):
    """An answer whose body is read chunk by chunk."""

    @property
    def status(self) -> int:
        """HTTP status code."""
        ...

    @property
    def headers(self) -> messages.Headers:
        """End-to-end headers of the answer."""
        ...

    def chunks(self) -> collections.abc.AsyncIterator[bytes]:
        """Iterate over the body; ends only when it is whole."""
        ...


class BackendServer(typing.Protocol):
    """Runs requests on backend servers."""

    def run(
        self, req: BackendRequest
    ) -> contextlib.AbstractAsyncContextManager[BackendResponse]:
        """Send a request and give access to its answer.

        :param req: the request to send.
        :raises citronrail.errors.BackendNotReached: no byte was sent.
        :raises citronrail.errors.BackendFailed: it may have run.
        """
        ...
