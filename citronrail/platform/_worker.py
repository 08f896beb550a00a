"""Client of the platform's worker on the agent's host."""

import typing

import msgspec

from citronrail import errors
from citronrail.model import bounded
from citronrail.model import codec
from citronrail.model import messages
from citronrail.platform import _http
from citronrail.platform import _transport_metrics as metrics
from citronrail import ports

CALL_TIMEOUT_S = 1.0
# A list shows the oldest ends that are not acknowledged, up to so many.
MAX_LISTED_ENDS = 500
PEER = 'worker'
TARGET_HEADER = 'Target-Instance'
_MISDIRECTED_STATUS = 421
# Statuses of calls that had no effect on the worker.
_REFUSAL_STATUSES = (400, 404, 409, 429, 503)


class _RunRow(msgspec.Struct, frozen=True, array_like=True):
    task: bounded.Name
    run: bounded.Count
    checkpoint: str
    percent: bounded.SignedNumber
    load: bounded.SignedNumber = 0.0  # may be missing


class _ListResponse(msgspec.Struct, frozen=True):
    """A list of runs, which is refused as a whole.

    A run without a row counts as lost and is started elsewhere, and an end
    without a row is acknowledged with the next one.
    """

    clockMs: bounded.Count  # noqa: N815 - name on the wire
    running: tuple[_RunRow, ...] = ()
    # [number, task, run, how, checkpoint]
    ended: tuple[
        tuple[
            bounded.Count,
            bounded.Name,
            bounded.Count,
            bounded.Name,
            str,
        ],
        ...,
    ] = ()
    born: bounded.UnixMs = 0


class _RefusalResponse(msgspec.Struct, frozen=True):
    reason: bounded.Text = ''


class PlatformWorker:
    """Implementation of :class:`citronrail.ports.TaskWorker`.

    :param address: ``IP:PORT`` of the worker.
    """

    def __init__(self, address: str) -> None:
        self._client = _http.HttpClient(address, PEER)

    async def aclose(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def list_runs(
        self, life: messages.WorkerLife, order: ports.LeaseOrder
    ) -> ports.WorkerList:
        """Extend the lease, acknowledge ended runs and list all runs."""
        body: dict[str, int] = {
            'fencingToken': order.fencing,
            'ackCursor': order.acknowledged,
        }
        if order.lease_until_ms:
            body['deadlineMs'] = order.lease_until_ms
        if order.wait_ms:
            body['waitMs'] = order.wait_ms
        res = await self._post(
            '/hold', life, body, CALL_TIMEOUT_S + order.wait_ms / 1000
        )
        try:
            response = codec.from_json(res.content, _ListResponse)
        except errors.Undecodable as exc:
            raise _http.unreadable(
                exc, errors.WorkerOutcomeUnknown, PEER, life.worker_id
            ) from exc
        return ports.WorkerList(
            response.born,
            response.clockMs,
            tuple(_run_row(row) for row in response.running),
            tuple(
                messages.EndRow(
                    number, task, run, how, _usable_checkpoint(checkpoint)
                )
                for number, task, run, how, checkpoint in response.ended
            ),
            has_more_ends=len(response.ended) >= MAX_LISTED_ENDS,
        )

    async def start(
        self,
        life: messages.WorkerLife,
        order: messages.StartOrder,
        start_until_ms: int,
        fencing: int,
    ) -> ports.StartResult:
        """Start a run; the worker refuses it after ``start_until_ms``.

        That time is on the worker's clock.
        """
        body: dict[str, typing.Any] = {
            'task': order.task,
            'run': order.run,
            'spec': order.argument,
            'deadlineMs': start_until_ms,
            'fencingToken': fencing,
        }
        if order.checkpoint:
            body['lastCheckpoint'] = order.checkpoint
        if order.ticket:
            body['ticket'] = order.ticket
        try:
            await self._post('/run-start', life, body, CALL_TIMEOUT_S)
        except errors.WorkerRefused as exc:
            return ports.StartResult(ports.StartVerdict.REFUSED, exc.message)
        except errors.WorkerOutcomeUnknown as exc:
            return ports.StartResult(ports.StartVerdict.UNKNOWN, exc.message)
        return ports.StartResult(ports.StartVerdict.STARTED)

    async def stop(
        self, life: messages.WorkerLife, run: messages.TaskRun, fencing: int
    ) -> None:
        """Stop a run; a later start of the same run is refused."""
        body = {'task': run.task, 'run': run.run, 'fencingToken': fencing}
        await self._post('/run-stop', life, body, CALL_TIMEOUT_S)

    async def pace(
        self,
        life: messages.WorkerLife,
        order: messages.PaceOrder,
        fencing: int,
    ) -> None:
        """Limit the CPU use of a run to a percentage."""
        body = {
            'task': order.task,
            'run': order.run,
            'percent': order.percent,
            'fencingToken': fencing,
        }
        await self._post('/pace', life, body, CALL_TIMEOUT_S)

    async def _post(
        self,
        path: str,
        life: messages.WorkerLife,
        body: dict[str, typing.Any],
        timeout_s: float,
    ) -> typing.Any:
        step = f'worker{path}'
        try:
            res = await self._client.call(
                'POST',
                path,
                timeout_s,
                body=msgspec.json.encode(body),
                headers={TARGET_HEADER: life.worker_id},
            )
        except _http.CallNotSent as exc:
            raise errors.WorkerRefused(
                exc.message, step=step, peer=life.worker_id
            ) from exc
        except _http.CallUnanswered as exc:
            raise errors.WorkerOutcomeUnknown(
                exc.message, step=step, peer=life.worker_id
            ) from exc
        if res.status_code == 200:
            return res
        if res.status_code == _MISDIRECTED_STATUS:
            raise errors.AnotherIncarnation(
                'another life', step=step, peer=life.worker_id
            )
        if res.status_code in _REFUSAL_STATUSES:
            raise errors.WorkerRefused(
                _refusal_reason(res), step=step, peer=life.worker_id
            )
        raise errors.WorkerOutcomeUnknown(
            f'status {res.status_code}', step=step, peer=life.worker_id
        )


def _refusal_reason(res: typing.Any) -> str:
    try:
        response = codec.from_json(res.content, _RefusalResponse)
    except errors.Undecodable:
        return f'status {res.status_code}'
    return response.reason or f'status {res.status_code}'


def _usable_checkpoint(checkpoint: str) -> str:
    """Return a checkpoint, '' for one that is too long to be stored.

    Without it the task begins anew, while a list that is refused for it would
    keep the worker from all other tasks.
    """
    if len(checkpoint) <= bounded.MAX_TEXT_LENGTH:
        return checkpoint
    metrics.REFUSED.labels('checkpoint').inc()
    return ''


def _run_row(row: _RunRow) -> messages.RunRow:
    return messages.RunRow(
        row.task,
        row.run,
        _usable_checkpoint(row.checkpoint),
        int(min(max(0.0, row.percent), 100.0)),
        max(0.0, row.load),
    )
