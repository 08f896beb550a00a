"""HTTP applications: jobs for callers and readiness."""

import collections.abc
import functools

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing
import trio

from citronrail.model import workflows
from citronrail.platform import _http_apps
from citronrail.platform import _refusals
from citronrail.platform import _wire_jobs
from citronrail import workflow

DEADLINE_HEADER = 'Deadline-Ms'
DEFAULT_DEADLINE_S = 3.0
# Responses are sent this long before the caller's deadline.
RESPONSE_MARGIN_S = 0.3
MAX_WAIT_S = 2.5

# A service that has not replied this long after its deadline is given up;
# within RESPONSE_MARGIN_S, so that the caller still gets the response.
OVERRUN_S = 0.15
STOPPING = 'stopping'
NO_CONFIG = 'no configuration'

Config = collections.abc.Callable[[], workflows.OperatorConfig | None]


def _never() -> float:
    return float('inf')


def caller_app(
    service: workflow.CallerService,
    config: Config,
    answer_by: collections.abc.Callable[[], float] = _never,
) -> applications.Starlette:
    """Create the application for callers.

    :param service: handles jobs.
    :param config: returns the current operators' configuration, None before
        it is loaded.
    :param answer_by: returns the local time by which all requests have to be
        answered as the process stops, infinity otherwise.
    :returns: an ASGI application.
    """
    refusals = _refusals.Refusals()

    async def handle(req: requests.Request) -> responses.Response:
        current = config()
        if current is None:
            refusals.record(NO_CONFIG)
            return _not_run_response(1)
        if trio.current_time() >= answer_by():
            refusals.record(STOPPING)
            return _not_run_response(1)
        header = req.headers.get('host', '')
        host = header.rpartition(':')[0] or header
        path = req.scope['path']
        queue = current.queue_for(host, path)
        if queue is None:
            return _http_apps.json_response(404, {'error': 'no such queue'})
        job_id = path.removeprefix(queue.prefix)
        deadline = min(
            _deadline(req.headers.get(DEADLINE_HEADER)), answer_by()
        )
        if not job_id and req.method == 'GET':
            reply = await _within(
                deadline, READ_GIVEN_UP, lambda _: service.pending(queue)
            )
            return _pending_response(reply)
        if not _wire_jobs.is_valid_job_id(job_id):
            return _http_apps.json_response(404, {'error': 'no such job'})
        if req.method == 'GET':
            reply = await _within(
                deadline,
                READ_GIVEN_UP,
                functools.partial(service.state, job_id),
            )
            return _state_response(reply)
        if req.method == 'DELETE':
            reply = await _within(
                deadline,
                WRITE_GIVEN_UP,
                functools.partial(service.cancel, job_id),
            )
            return _cancel_response(reply)
        try:
            spec = await _read_job(req, current.max_body_bytes, answer_by)
        except trio.TooSlowError:
            if trio.current_time() >= answer_by():
                refusals.record(STOPPING)
                return _not_run_response(1)
            return _http_apps.json_response(408, {'error': 'body too slow'})
        except _http_apps.BodyTooLarge as exc:
            return _http_apps.json_response(413, {'error': str(exc)})
        except ValueError as exc:
            return _http_apps.json_response(400, {'error': str(exc)})
        if trio.current_time() >= answer_by():
            refusals.record(STOPPING)
            return _not_run_response(1)
        reply = await _within(
            min(deadline, answer_by()),
            WRITE_GIVEN_UP,
            functools.partial(service.submit, queue, job_id, spec),
        )
        return _submit_response(reply)

    methods = ['GET', 'POST', 'DELETE']
    return applications.Starlette(
        routes=[routing.Route('/{path:path}', handle, methods=methods)]
    )


READ_GIVEN_UP = workflow.Reply(workflow.Verdict.NOT_RUN)
WRITE_GIVEN_UP = workflow.Reply(workflow.Verdict.UNKNOWN)


async def _within(
    deadline: float,
    otherwise: workflow.Reply,
    call: collections.abc.Callable[
        [float], collections.abc.Awaitable[workflow.Reply]
    ],
) -> workflow.Reply:
    """Return the reply of the service, ``otherwise`` if it is too late."""
    with trio.move_on_at(deadline + OVERRUN_S):
        return await call(deadline)
    return otherwise


async def _read_job(
    req: requests.Request,
    max_body_bytes: int,
    answer_by: collections.abc.Callable[[], float],
) -> workflows.WorkflowSpec:
    body = await _http_apps.read_body(req, answer_by)
    if len(body) > max_body_bytes:
        raise _http_apps.BodyTooLarge('the body is too large')
    return _wire_jobs.decode_job(body)


def ready_app(
    ready: collections.abc.Callable[[], bool],
) -> applications.Starlette:
    """Create the application for readiness probes of the load balancer.

    :param ready: returns whether this entry accepts new connections.
    :returns: an ASGI application.
    """

    async def is_ready(_: requests.Request) -> responses.Response:
        return responses.Response(status_code=200 if ready() else 503)

    return applications.Starlette(routes=[routing.Route('/ready', is_ready)])


def _deadline(header: str | None) -> float:
    """Return the local time by which a response has to be sent."""
    now = trio.current_time()
    try:
        remaining_s = float(header) / 1000 if header else DEFAULT_DEADLINE_S
    except ValueError:
        remaining_s = DEFAULT_DEADLINE_S
    return now + max(0.05, min(remaining_s - RESPONSE_MARGIN_S, MAX_WAIT_S))


def _submit_response(reply: workflow.Reply) -> responses.Response:
    match reply.verdict:
        case workflow.Verdict.DONE:
            return _http_apps.json_response(200, {})
        case workflow.Verdict.NOT_RUN:
            return _not_run_response(reply.retry_after_s)
        case workflow.Verdict.UNFIT:
            return _not_run_response(
                reply.retry_after_s, 429, 'no worker has room for its tasks'
            )
        case workflow.Verdict.OVERLOADED:
            return _not_run_response(
                reply.retry_after_s, 429, 'it would end too late to be of use'
            )
        case workflow.Verdict.NO_MEMORY:
            return _not_run_response(
                reply.retry_after_s, 429, 'there is no memory for its tasks'
            )
        case workflow.Verdict.TOO_LARGE:
            return _http_apps.json_response(
                413, {'error': 'the job is too large to be stored'}
            )
        case _:
            return _http_apps.json_response(
                504, {'error': 'outcome unknown, send it again'}
            )


def _cancel_response(reply: workflow.Reply) -> responses.Response:
    match reply.verdict:
        case workflow.Verdict.DONE:
            return _http_apps.json_response(200, {})
        case workflow.Verdict.ABSENT:
            return _http_apps.json_response(410, {'error': 'no such job'})
        case workflow.Verdict.NOT_RUN:
            return _not_run_response(reply.retry_after_s)
        case _:
            return _http_apps.json_response(
                504, {'error': 'outcome unknown, send it again'}
            )


def _state_response(reply: workflow.Reply) -> responses.Response:
    match reply.verdict:
        case workflow.Verdict.DONE:
            return _http_apps.json_response(200, {'state': reply.state})
        case workflow.Verdict.ABSENT:
            return _http_apps.json_response(410, {'error': 'no such job'})
        case _:
            return _not_run_response(reply.retry_after_s)


def _pending_response(reply: workflow.Reply) -> responses.Response:
    if reply.verdict is workflow.Verdict.DONE:
        return _http_apps.json_response(200, {'pending': reply.pending})
    return _not_run_response(reply.retry_after_s)


def _not_run_response(
    retry_after_s: int,
    status: int = 503,
    error: str = 'not done, come back later',
) -> responses.Response:
    res = _http_apps.json_response(status, {'error': error})
    res.headers['Retry-After'] = str(retry_after_s)
    return res
