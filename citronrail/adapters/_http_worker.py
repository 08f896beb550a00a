"""The worker port over HTTP; see standins/worker/README.md."""

import dataclasses
import typing

import httpx

from citronrail import errors
from citronrail.model import codec
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import specs
from citronrail.ports import worker as workers

TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 0.5
MAX_CONNECTIONS = 16
T = typing.TypeVar('T')


@dataclasses.dataclass(frozen=True)
class _Start:
    attempt: specs.AttemptId
    range_id: identifiers.RangeId
    spec: specs.TaskSpec
    start_before: float
    lease_until: float


@dataclasses.dataclass(frozen=True)
class _Renew:
    attempts: tuple[specs.AttemptId, ...]
    lease_until: float


@dataclasses.dataclass(frozen=True)
class _Stop:
    attempts: tuple[specs.AttemptId, ...]
    checkpoint: bool


@dataclasses.dataclass(frozen=True)
class _Throttle:
    attempt: specs.AttemptId
    share: float


@dataclasses.dataclass(frozen=True)
class _Attempts:
    attempts: tuple[specs.AttemptId, ...]


@dataclasses.dataclass(frozen=True)
class _Usage:
    usage: tuple[messages.TaskUsage, ...]


@dataclasses.dataclass(frozen=True)
class _Refused:
    refused: str
    checkpoint_unknown: bool = False


@dataclasses.dataclass(frozen=True)
class _Empty:
    """An empty response."""


class HttpWorker:
    """Implements :class:`citronrail.ports.Worker` over HTTP.

    :param url: address of the worker, ``http://IP:PORT``.
    :param timeout_s: timeout of a call in seconds.
    :param transport: replaces the network in tests.
    """

    def __init__(
        self,
        url: str,
        timeout_s: float = TIMEOUT_S,
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        self._url = url
        self._client = httpx.AsyncClient(
            base_url=url,
            timeout=httpx.Timeout(
                timeout_s, connect=min(timeout_s, CONNECT_TIMEOUT_S)
            ),
            limits=httpx.Limits(max_connections=MAX_CONNECTIONS),
            transport=transport,
        )

    async def aclose(self) -> None:
        """Close the connections."""
        await self._client.aclose()

    async def info(self) -> workers.WorkerInfo:
        """Return capacity and clock."""
        return await self._get('/info', workers.WorkerInfo)

    async def start(
        self,
        attempt: specs.AttemptId,
        range_id: identifiers.RangeId,
        spec: specs.TaskSpec,
        start_before: float,
        lease_until: float,
    ) -> None:
        """Start an attempt; refused after ``start_before``."""
        body = _Start(attempt, range_id, spec, start_before, lease_until)
        await self._post('/start', body, _Empty)

    async def renew(
        self, attempts: tuple[specs.AttemptId, ...], lease_until: float
    ) -> tuple[specs.AttemptId, ...]:
        """Renew leases; return the attempts that still run."""
        body = _Renew(attempts, lease_until)
        return (await self._post('/renew', body, _Attempts)).attempts

    async def stop(
        self, attempts: tuple[specs.AttemptId, ...], checkpoint: bool
    ) -> None:
        """Stop attempts, after writing a checkpoint if requested."""
        await self._post('/stop', _Stop(attempts, checkpoint), _Empty)

    async def throttle(self, attempt: specs.AttemptId, share: float) -> None:
        """Limit an attempt to a share of its processors."""
        await self._post('/throttle', _Throttle(attempt, share), _Empty)

    async def tasks(self) -> workers.WorkerTasks:
        """List running and ended attempts."""
        return await self._get('/tasks', workers.WorkerTasks)

    async def forget(self, attempts: tuple[specs.AttemptId, ...]) -> None:
        """Drop ended attempts whose results are committed."""
        await self._post('/forget', _Attempts(attempts), _Empty)

    async def usage(self) -> tuple[messages.TaskUsage, ...]:
        """Return the latest measurements; they may be out of date."""
        return (await self._get('/usage', _Usage)).usage

    async def _get(self, path: str, body_type: type[T]) -> T:
        return await self._call('GET', path, b'', body_type)

    async def _post(self, path: str, body: object, body_type: type[T]) -> T:
        return await self._call('POST', path, codec.to_json(body), body_type)

    async def _call(
        self, method: str, path: str, body: bytes, body_type: type[T]
    ) -> T:
        """Make a call and raise an error that states its outcome.

        :raises citronrail.errors.WorkerRefused: if no connection was made
            or the worker responded with a status of 400 to 499;
            :class:`~citronrail.errors.CheckpointUnknown` if the response
            says so.
        :raises citronrail.errors.WorkerOutcomeUnknown: for any other result
            than a complete, well-formed response with status 200.
        """
        step = f'worker{path.replace("/", ".")}'
        try:
            answer = await self._client.request(
                method,
                path,
                content=body,
                headers={'content-type': 'application/json'},
            )
        except (
            httpx.ConnectError,
            httpx.ConnectTimeout,
            httpx.PoolTimeout,
        ) as exc:
            raise errors.WorkerRefused(
                f'the worker was not reached: {exc!r}',
                step=step,
                peer=self._url,
            ) from exc
        except httpx.HTTPError as exc:
            raise errors.WorkerOutcomeUnknown(
                f'no answer: {exc!r}', step=step, peer=self._url
            ) from exc
        return self._read(answer, step, body_type)

    def _read(
        self, answer: httpx.Response, step: str, body_type: type[T]
    ) -> T:
        if 400 <= answer.status_code < 500:
            raise _refusal(answer, step, self._url)
        if answer.status_code != 200:
            raise errors.WorkerOutcomeUnknown(
                f'status {answer.status_code}', step=step, peer=self._url
            )
        try:
            return codec.from_json(answer.content, body_type)
        except errors.Undecodable as exc:
            raise errors.WorkerOutcomeUnknown(
                f'the answer has a wrong form: {exc}',
                step=step,
                peer=self._url,
            ) from exc


def _refusal(
    answer: httpx.Response, step: str, peer: str
) -> errors.WorkerRefused:
    try:
        body = codec.from_json(answer.content, _Refused)
    except errors.Undecodable:
        body = _Refused(f'status {answer.status_code}')
    if body.checkpoint_unknown:
        return errors.CheckpointUnknown(body.refused, step=step, peer=peer)
    return errors.WorkerRefused(body.refused, step=step, peer=peer)
