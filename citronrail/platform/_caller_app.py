"""The callers' interface of the platform: jobs over HTTP."""

import collections.abc
import typing

import msgspec
import quart
import quart_trio
import trio

from citronrail.model import workflows
from citronrail import observability
from citronrail.platform import _wire_jobs
from citronrail import workflow

DEADLINE_HEADER = 'Deadline-Ms'
DEFAULT_DEADLINE_S = 3.0
# An answer leaves this long before the caller stops waiting for it.
ANSWER_MARGIN_S = 0.3
LONGEST_WAIT_S = 2.5
JSON = 'application/json'

Config = collections.abc.Callable[[], workflows.OperatorConfig | None]


def caller_app(
    service: workflow.CallerService, config: Config
) -> quart_trio.QuartTrio:
    """Make the application for callers.

    :param service: what the entry does for callers.
    :param config: the operators' configuration in force, None before it is
        known.
    :returns: an ASGI application.
    """
    app = quart_trio.QuartTrio(__name__)
    app.config['MAX_CONTENT_LENGTH'] = 4 * 1024 * 1024

    @app.route('/', defaults={'path': ''}, methods=['GET', 'POST', 'DELETE'])
    @app.route('/<path:path>', methods=['GET', 'POST', 'DELETE'])
    async def handle(path: str) -> quart.Response:
        del path
        current = config()
        if current is None:
            return _not_run(1)
        req = quart.request
        host = req.host.rpartition(':')[0] or req.host
        queue = current.queue_for(host, req.path)
        if queue is None:
            return _answer(404, {'error': 'no such queue'})
        job_id = req.path.removeprefix(queue.prefix)
        deadline = _deadline(req.headers.get(DEADLINE_HEADER))
        if not job_id and req.method == 'GET':
            return _pending(await service.pending(queue))
        if not _wire_jobs.valid_id(job_id):
            return _answer(404, {'error': 'no such job'})
        if req.method == 'GET':
            return _state(await service.state(job_id, deadline))
        if req.method == 'DELETE':
            return _cancelled(await service.cancel(job_id, deadline))
        body = await req.get_data()
        if len(body) > current.max_body_bytes:
            return _answer(413, {'error': 'the body is too large'})
        try:
            spec = _wire_jobs.decode_job(typing.cast(bytes, body))
        except ValueError as exc:
            return _answer(400, {'error': str(exc)})
        return _accepted(await service.submit(queue, job_id, spec, deadline))

    return app


def ready_app(
    ready: collections.abc.Callable[[], bool],
) -> quart_trio.QuartTrio:
    """Make the application that the load balancer asks.

    :param ready: whether this entry takes new connections.
    :returns: an ASGI application.
    """
    app = quart_trio.QuartTrio(__name__)

    @app.get('/ready')
    async def is_ready() -> quart.Response:
        return quart.Response('', 200 if ready() else 503)

    return app


def metrics_app() -> quart_trio.QuartTrio:
    """Make the application that serves this process's metrics.

    :returns: an ASGI application.
    """
    app = quart_trio.QuartTrio(__name__)

    @app.get('/metrics')
    async def metrics() -> quart.Response:
        return quart.Response(
            observability.exposition(),
            content_type=observability.CONTENT_TYPE,
        )

    return app


def _deadline(header: str | None) -> float:
    """Return the local time by which an answer has to leave."""
    now = trio.current_time()
    try:
        left_s = float(header) / 1000 if header else DEFAULT_DEADLINE_S
    except ValueError:
        left_s = DEFAULT_DEADLINE_S
    return now + max(0.05, min(left_s - ANSWER_MARGIN_S, LONGEST_WAIT_S))


def _accepted(reply: workflow.Reply) -> quart.Response:
    match reply.verdict:
        case workflow.Verdict.DONE:
            return _answer(200, {})
        case workflow.Verdict.NOT_RUN:
            return _not_run(reply.retry_after_s)
        case workflow.Verdict.UNFIT:
            return _not_run(
                reply.retry_after_s, 429, 'no worker has room for its tasks'
            )
        case _:
            return _answer(504, {'error': 'outcome unknown, send it again'})


def _cancelled(reply: workflow.Reply) -> quart.Response:
    match reply.verdict:
        case workflow.Verdict.DONE:
            return _answer(200, {})
        case workflow.Verdict.ABSENT:
            return _answer(410, {'error': 'no such job'})
        case workflow.Verdict.NOT_RUN:
            return _not_run(reply.retry_after_s)
        case _:
            return _answer(504, {'error': 'outcome unknown, send it again'})


def _state(reply: workflow.Reply) -> quart.Response:
    match reply.verdict:
        case workflow.Verdict.DONE:
            return _answer(200, {'state': reply.state})
        case workflow.Verdict.ABSENT:
            return _answer(410, {'error': 'no such job'})
        case _:
            return _not_run(reply.retry_after_s)


def _pending(reply: workflow.Reply) -> quart.Response:
    if reply.verdict is workflow.Verdict.DONE:
        return _answer(200, {'pending': reply.pending})
    return _not_run(reply.retry_after_s)


def _not_run(
    retry_after_s: int,
    status: int = 503,
    error: str = 'not done, come back later',
) -> quart.Response:
    res = _answer(status, {'error': error})
    res.headers['Retry-After'] = str(retry_after_s)
    return res


def _answer(status: int, body: dict[str, typing.Any]) -> quart.Response:
    return quart.Response(msgspec.json.encode(body), status, content_type=JSON)
