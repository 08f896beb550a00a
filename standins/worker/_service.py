"""HTTP interface of the worker stand-in; see README.md for the protocol."""

import collections.abc
import dataclasses
import pathlib
import typing

import httpx
import msgspec
import quart
import quart_trio
import trio

from citronrail import errors
from citronrail.model import codec
from citronrail.model import identifiers
from citronrail.model import specs
from standins.worker import _memory_worker

JSON_CONTENT_TYPE = 'application/json'
POLL_INTERVAL_S = 0.1
SERVICE_RESEND_INTERVAL_S = 2.0
T = typing.TypeVar('T')


@dataclasses.dataclass(frozen=True)
class StartBody:
    """Body of ``POST /start``."""

    attempt: specs.AttemptId
    range_id: identifiers.RangeId
    spec: specs.TaskSpec
    start_before: float
    lease_until: float


@dataclasses.dataclass(frozen=True)
class RenewBody:
    """Body of ``POST /renew``."""

    attempts: tuple[specs.AttemptId, ...]
    lease_until: float


@dataclasses.dataclass(frozen=True)
class StopBody:
    """Body of ``POST /stop``."""

    attempts: tuple[specs.AttemptId, ...]
    checkpoint: bool = False


@dataclasses.dataclass(frozen=True)
class ThrottleBody:
    """Body of ``POST /throttle``."""

    attempt: specs.AttemptId
    share: float


@dataclasses.dataclass(frozen=True)
class AttemptsBody:
    """Body of ``POST /forget`` and response of ``POST /renew``."""

    attempts: tuple[specs.AttemptId, ...]


class HttpCheckpoints:
    """Client of the checkpoint store; see ``standins/checkpoints``.

    :param client: HTTP client.
    :param url: address of the store.
    """

    def __init__(self, client: httpx.AsyncClient, url: str) -> None:
        self._client = client
        self._url = url

    async def put(self, token: str, progress_s: float) -> None:
        """Store a checkpoint."""
        await self._call('PUT', token, {'progress_s': progress_s})

    async def get(self, token: str) -> float | None:
        """Return the progress of a checkpoint."""
        response = await self._call('GET', token, None)
        if response.status_code == 404:
            return None
        return float(response.json()['progress_s'])

    async def _call(
        self, method: str, token: str, body: object
    ) -> httpx.Response:
        try:
            response = await self._client.request(
                method,
                f'{self._url}/checkpoints',
                params={'token': token},
                json=body,
            )
        except httpx.HTTPError as exc:
            raise OSError(f'checkpoint store: {exc!r}') from exc
        if response.status_code >= 500:
            raise OSError(f'checkpoint store: status {response.status_code}')
        return response


def make_app(worker: _memory_worker.MemoryWorker) -> quart_trio.QuartTrio:
    """Return the HTTP application of a worker.

    :param worker: worker that executes the calls.
    :returns: an ASGI application.
    """
    app = quart_trio.QuartTrio(__name__)
    _add_calls(app, worker)
    _add_admin(app, worker)
    return app


def _add_calls(
    app: quart_trio.QuartTrio, worker: _memory_worker.MemoryWorker
) -> None:
    async def start() -> quart.Response:
        body = await _body(StartBody)
        await worker.start(
            body.attempt,
            body.range_id,
            body.spec,
            body.start_before,
            body.lease_until,
        )
        return _json({})

    async def renew() -> quart.Response:
        body = await _body(RenewBody)
        running = await worker.renew(body.attempts, body.lease_until)
        return _json(AttemptsBody(running))

    async def stop() -> quart.Response:
        body = await _body(StopBody)
        await worker.stop(body.attempts, body.checkpoint)
        return _json({})

    async def throttle() -> quart.Response:
        body = await _body(ThrottleBody)
        await worker.throttle(body.attempt, body.share)
        return _json({})

    async def forget() -> quart.Response:
        await worker.forget((await _body(AttemptsBody)).attempts)
        return _json({})

    async def info() -> quart.Response:
        return _json(await worker.info())

    async def tasks() -> quart.Response:
        return _json(await worker.tasks())

    async def usage() -> quart.Response:
        return _json({'usage': await worker.usage()})

    for handler in (start, renew, stop, throttle, forget):
        _route(app, 'POST', f'/{handler.__name__}', handler)
    for handler in (info, tasks, usage):
        _route(app, 'GET', f'/{handler.__name__}', handler)


def _add_admin(
    app: quart_trio.QuartTrio, worker: _memory_worker.MemoryWorker
) -> None:
    async def switches() -> quart.Response:
        changes = msgspec.json.decode(await quart.request.get_data())
        worker.switch(**changes)
        return _json(worker.core.switches)

    async def history() -> quart.Response:
        worker.core.advance()
        return _json({'history': tuple(worker.core.history)})

    async def over_capacity() -> quart.Response:
        worker.core.advance()
        return _json({'over_capacity': tuple(worker.core.over_capacity)})

    _route(app, 'POST', '/admin/switches', switches)
    _route(app, 'GET', '/admin/history', history)
    _route(app, 'GET', '/admin/over_capacity', over_capacity)


Handler = collections.abc.Callable[
    [], collections.abc.Awaitable[quart.Response]
]


def _route(
    app: quart_trio.QuartTrio, method: str, path: str, handler: Handler
) -> None:
    async def respond() -> quart.Response:
        try:
            return await handler()
        except errors.CheckpointUnknown as exc:
            refusal = {'refused': exc.message, 'checkpoint_unknown': True}
            return _json(refusal, 409)
        except errors.WorkerRefused as exc:
            return _json({'refused': exc.message}, 409)
        except errors.WorkerOutcomeUnknown as exc:
            return _json({'lost': exc.message}, 502)
        except (errors.Undecodable, msgspec.DecodeError, TypeError) as exc:
            return _json({'refused': str(exc)}, 400)

    app.add_url_rule(path, path, respond, methods=[method])


async def _body(kind: type[T]) -> T:
    return codec.from_json(await quart.request.get_data(), kind)


def _json(value: object, status: int = 200) -> quart.Response:
    return quart.Response(
        codec.to_json(value), status, content_type=JSON_CONTENT_TYPE
    )


async def advance_periodically(worker: _memory_worker.MemoryWorker) -> None:
    """Advance the tasks periodically, so that leases and tasks end on time."""
    while True:
        worker.core.advance()
        with trio.move_on_after(POLL_INTERVAL_S):
            await worker.changed()


async def write_history(
    worker: _memory_worker.MemoryWorker, path: pathlib.Path
) -> None:
    """Append history records to a file, one JSON object per line."""
    last_written_at = 0.0
    written_at_last_time = 0
    with path.open('ab', buffering=0) as file:
        while True:
            records = [
                r for r in worker.core.history if r.at >= last_written_at
            ]
            new_records = records[written_at_last_time:]
            for record in new_records:
                file.write(codec.to_json(record) + b'\n')
            if new_records:
                last = new_records[-1].at
                written_at_last_time = sum(1 for r in records if r.at == last)
                last_written_at = last
            await trio.sleep(POLL_INTERVAL_S)


async def sync_services(
    worker: _memory_worker.MemoryWorker,
    client: httpx.AsyncClient,
    backend_url: str,
) -> None:
    """Keep the services of the backend server equal to those running here.

    All are sent again at intervals, in case the backend server restarted.
    """
    sent: frozenset[str] = frozenset()
    resend_at = 0.0
    while True:
        running = worker.core.services()
        if trio.current_time() >= resend_at:
            sent = sent - running
            resend_at = trio.current_time() + SERVICE_RESEND_INTERVAL_S
        for service in sorted(running ^ sent):
            method = 'PUT' if service in running else 'DELETE'
            if await _send_service_update(
                client, method, f'{backend_url}/serve/{service}'
            ):
                sent = sent ^ {service}
        await trio.sleep(POLL_INTERVAL_S)


async def _send_service_update(
    client: httpx.AsyncClient, method: str, url: str
) -> bool:
    try:
        response = await client.request(method, url)
    except httpx.HTTPError:
        return False
    return response.status_code < 400
