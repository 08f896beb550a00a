"""HTTP applications: jobs for callers, readiness and metrics."""

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
# Responses are sent this long before the caller's deadline.
RESPONSE_MARGIN_S = 0.3
MAX_WAIT_S = 2.5
JSON_CONTENT_TYPE = 'application/json'

Config = collections.abc.Callable[[], workflows.OperatorConfig | None]


def caller_app(
    service: workflow.CallerService, config: Config
) -> quart_trio.QuartTrio:
    """Create the application for callers.

    :param service: handles jobs.
    :param config: returns the current operators' configuration, None before
        it is loaded.
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
            return _not_run_response(1)
        req = quart.request
        host = req.host.rpartition(':')[0] or req.host
        queue = current.queue_for(host, req.path)
        if queue is None:
            return _json_response(404, {'error': 'no such queue'})
        job_id = req.path.removeprefix(queue.prefix)
        deadline = _deadline(req.headers.get(DEADLINE_HEADER))
        if not job_id and req.method == 'GET':
            return _pending_response(await service.pending(queue))
        if not _wire_jobs.is_valid_job_id(job_id):
            return _json_response(404, {'error': 'no such job'})
        if req.method == 'GET':
            return _state_response(await service.state(job_id, deadline))
        if req.method == 'DELETE':
            return _cancel_response(await service.cancel(job_id, deadline))
        body = await req.get_data()
        if len(body) > current.max_body_bytes:
            return _json_response(413, {'error': 'the body is too large'})
        try:
            spec = _wire_jobs.decode_job(typing.cast(bytes, body))
        except ValueError as exc:
            return _json_response(400, {'error': str(exc)})
        return _submit_response(
            await service.submit(queue, job_id, spec, deadline)
        )

    return app


def ready_app(
    ready: collections.abc.Callable[[], bool],
) -> quart_trio.QuartTrio:
    """Create the application for readiness probes of the load balancer.

    :param ready: returns whether this entry accepts new connections.
    :returns: an ASGI application.
    """
    app = quart_trio.QuartTrio(__name__)

    @app.get('/ready')
    async def is_ready() -> quart.Response:
        return quart.Response('', 200 if ready() else 503)

    return app


def metrics_app() -> quart_trio.QuartTrio:
    """Create the application that serves the metrics of this process.

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
    """Return the local time by which a response has to be sent."""
    now = trio.current_time()
    try:
        remaining_s = float(header) / 1000 if header else DEFAULT_DEADLINE_S
    except ValueError:
        remaining_s = DEFAULT_DEADLINE_S
    return now + max(0.05, min(remaining_s - RESPONSE_MARGIN_S, MAX_WAIT_S))


def _submit_response(reply: workflow.Reply) -> quart.Response:
    match reply.verdict:
        case workflow.Verdict.DONE:
            return _json_response(200, {})
        case workflow.Verdict.NOT_RUN:
            return _not_run_response(reply.retry_after_s)
        case workflow.Verdict.UNFIT:
            return _not_run_response(
                reply.retry_after_s, 429, 'no worker has room for its tasks'
            )
        case _:
            return _json_response(
                504, {'error': 'outcome unknown, send it again'}
            )


def _cancel_response(reply: workflow.Reply) -> quart.Response:
    match reply.verdict:
        case workflow.Verdict.DONE:
            return _json_response(200, {})
        case workflow.Verdict.ABSENT:
            return _json_response(410, {'error': 'no such job'})
        case workflow.Verdict.NOT_RUN:
            return _not_run_response(reply.retry_after_s)
        case _:
            return _json_response(
                504, {'error': 'outcome unknown, send it again'}
            )


def _state_response(reply: workflow.Reply) -> quart.Response:
    match reply.verdict:
        case workflow.Verdict.DONE:
            return _json_response(200, {'state': reply.state})
        case workflow.Verdict.ABSENT:
            return _json_response(410, {'error': 'no such job'})
        case _:
            return _not_run_response(reply.retry_after_s)


def _pending_response(reply: workflow.Reply) -> quart.Response:
    if reply.verdict is workflow.Verdict.DONE:
        return _json_response(200, {'pending': reply.pending})
    return _not_run_response(reply.retry_after_s)


def _not_run_response(
    retry_after_s: int,
    status: int = 503,
    error: str = 'not done, come back later',
) -> quart.Response:
    res = _json_response(status, {'error': error})
    res.headers['Retry-After'] = str(retry_after_s)
    return res


def _json_response(status: int, body: dict[str, typing.Any]) -> quart.Response:
    return quart.Response(
        msgspec.json.encode(body), status, content_type=JSON_CONTENT_TYPE
    )
