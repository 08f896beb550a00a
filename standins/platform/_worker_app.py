"""HTTP application of the worker's public protocol, on a memory worker."""

import typing

import msgspec
import quart
import quart_trio

from citronrail import errors
from citronrail.model import messages
from citronrail import ports
from standins import task_worker


def worker_app(worker: task_worker.MemoryTaskWorker) -> quart_trio.QuartTrio:
    """Create the worker's application.

    :param worker: worker that executes the calls.
    :returns: an ASGI application.
    """
    app = quart_trio.QuartTrio(__name__)

    def refusal(exc: errors.WorkerRefused) -> quart.Response:
        return _json(
            {'clockMs': worker.clock_ms(), 'reason': exc.message}, 409
        )

    def wrong_incarnation() -> bool:
        target = quart.request.headers.get('Target-Instance')
        return target is not None and target != worker.worker_id

    @app.errorhandler(errors.WorkerOutcomeUnknown)
    async def outcome_unknown(_: errors.WorkerOutcomeUnknown) -> typing.Any:
        return quart.Response('', 500)

    @app.post('/hold')
    async def hold() -> quart.Response:
        if wrong_incarnation():
            return quart.Response('', 421)
        body = msgspec.json.decode(await quart.request.get_data())
        order = ports.LeaseOrder(
            body['fencingToken'],
            body['ackCursor'],
            body.get('deadlineMs', 0),
            body.get('waitMs', 0),
        )
        try:
            runs = await worker.list_runs(worker.life(), order)
        except errors.WorkerRefused as exc:
            return refusal(exc)
        return _json(
            {
                'clockMs': runs.clock_ms,
                'born': runs.born_ms,
                'running': [
                    [row.task, row.run, row.checkpoint, row.percent, row.load]
                    for row in runs.running
                ],
                'ended': [
                    [end.number, end.task, end.run, end.how, end.checkpoint]
                    for end in runs.ended
                ],
            }
        )

    @app.post('/run-start')
    async def start() -> quart.Response:
        if wrong_incarnation():
            return quart.Response('', 421)
        body = msgspec.json.decode(await quart.request.get_data())
        order = messages.StartOrder(
            body['task'],
            body['run'],
            body['spec'],
            body.get('lastCheckpoint', ''),
        )
        result = await worker.start(
            worker.life(), order, body['deadlineMs'], body['fencingToken']
        )
        if result.verdict is ports.StartVerdict.REFUSED:
            answer = {'clockMs': worker.clock_ms(), 'reason': result.reason}
            return _json(answer, 409)
        return _json({'clockMs': worker.clock_ms()})

    @app.post('/run-stop')
    async def stop() -> quart.Response:
        body = msgspec.json.decode(await quart.request.get_data())
        run = messages.TaskRun(body['task'], body['run'])
        try:
            await worker.stop(worker.life(), run, body['fencingToken'])
        except errors.WorkerRefused as exc:
            return refusal(exc)
        return _json({'clockMs': worker.clock_ms()})

    return app


def _json(body: typing.Any, status: int = 200) -> quart.Response:
    return quart.Response(
        msgspec.json.encode(body), status, content_type='application/json'
    )
