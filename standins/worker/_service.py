"""HTTP side of the worker stand-in; the protocol is in README.md."""

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

JSON = 'application/json'
TICK_S = 0.1
TELL_ALL_S = 2.0
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
    """Body of ``POST /forget`` and answer of ``POST /renew``."""

    attempts: tuple[specs.AttemptId, ...]


class HttpCheckpoints:
    """Client of the checkpoint store, see ``standins/checkpoints``.

    :param client: HTTP client.
    :param url: address of the store.
    """

    def __init__(self, client: httpx.AsyncClient, url: str) -> None:
        self._client = client
        self._url = url

    async def put(self, token: str, progress_s: float) -> None:
        """Keep a checkpoint."""
        await self._call('PUT', token, {'progress_s': progress_s})

    async def get(self, token: str) -> float | None:
        """Return the progress of a checkpoint."""
        answer = await self._call('GET', token, None)
        if answer.status_code == 404:
            return None
        return float(answer.json()['progress_s'])

    async def _call(
        self, method: str, token: str, body: object
    ) -> httpx.Response:
        try:
            answer = await self._client.request(
                method,
                f'{self._url}/checkpoints',
                params={'token': token},
                json=body,
            )
        except httpx.HTTPError as exc:
            raise OSError(f'checkpoint store: {exc!r}') from exc
        if answer.status_code >= 500:
            raise OSError(f'checkpoint store: status {answer.status_code}')
        return answer


def make_app(worker: _memory_worker.MemoryWorker) -> quart_trio.QuartTrio:
    """Return the HTTP application of a worker.

    :param worker: the worker behind it.
    :returns: an application for hypercorn.
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
    async def guarded() -> quart.Response:
        try:
            return await handler()
        except errors.CheckpointUnknown as exc:
            refusal = {'refused': exc.message, 'checkpoint_unknown': True}
            return _json(refusal, 409)
        except errors.WorkerRefused as exc:
            return _json({'refused': exc.message}, 409)
        except errors.WorkerOutcomeUnknown as exc:
            return _json({'lost': exc.message}, 502)
        except (msgspec.DecodeError, TypeError) as exc:
            return _json({'refused': str(exc)}, 400)

    app.add_url_rule(path, path, guarded, methods=[method])


async def _body(kind: type[T]) -> T:
    return codec.from_json(await quart.request.get_data(), kind)


def _json(value: object, status: int = 200) -> quart.Response:
    return quart.Response(codec.to_json(value), status, content_type=JSON)


async def keep_time(worker: _memory_worker.MemoryWorker) -> None:
    """Advance the tasks, so that leases lapse and tasks end on time."""
    while True:
        worker.core.advance()
        with trio.move_on_after(TICK_S):
            await worker.changed()


async def write_history(
    worker: _memory_worker.MemoryWorker, path: pathlib.Path
) -> None:
    """Append what happens to a file, one JSON object a line."""
    written = 0.0
    count_at = 0
    with path.open('ab', buffering=0) as file:
        while True:
            records = [r for r in worker.core.history if r.at >= written]
            fresh = records[count_at:]
            for record in fresh:
                file.write(codec.to_json(record) + b'\n')
            if fresh:
                last = fresh[-1].at
                count_at = sum(1 for r in records if r.at == last)
                written = last
            await trio.sleep(TICK_S)


async def follow_services(
    worker: _memory_worker.MemoryWorker,
    client: httpx.AsyncClient,
    backend_url: str,
) -> None:
    """Tell the backend server which services to serve.

    All are told again at intervals, for a backend server that restarted.
    """
    told: frozenset[str] = frozenset()
    tell_all_at = 0.0
    while True:
        wanted = worker.core.services()
        if trio.current_time() >= tell_all_at:
            told = told - wanted
            tell_all_at = trio.current_time() + TELL_ALL_S
        for service in sorted(wanted ^ told):
            method = 'PUT' if service in wanted else 'DELETE'
            if await _tell(client, method, f'{backend_url}/serve/{service}'):
                told = told ^ {service}
        await trio.sleep(TICK_S)


async def _tell(client: httpx.AsyncClient, method: str, url: str) -> bool:
    try:
        answer = await client.request(method, url)
    except httpx.HTTPError:
        return False
    return answer.status_code < 400
