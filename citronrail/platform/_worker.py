"""The platform's worker, called by the agent on its machine."""

import typing

import msgspec

from citronrail import errors
from citronrail.model import messages
from citronrail.platform import _http
from citronrail import ports

CALL_TIMEOUT_S = 1.0
PEER = 'worker'
TARGET_HEADER = 'Target-Instance'
_WRONG_LIFE = 421
# Statuses with which a worker says that it has done nothing.
_REFUSALS = (400, 404, 409, 421, 429, 503)


class _ListAnswer(msgspec.Struct, frozen=True):
    clockMs: int  # noqa: N815 - name on the wire
    # [task, run, checkpoint, percent, load]; the load may be missing
    running: tuple[tuple[typing.Any, ...], ...] = ()
    # [number, task, run, how, checkpoint]
    ended: tuple[tuple[int, str, int, str, str], ...] = ()
    born: int = 0


class _RefusalAnswer(msgspec.Struct, frozen=True):
    reason: str = ''


class PlatformWorker:
    """A :class:`citronrail.ports.TaskWorker` of the platform.

    :param address: ``IP:PORT`` where the worker takes calls.
    """

    def __init__(self, address: str) -> None:
        self._calls = _http.HttpCalls(address, PEER)

    async def aclose(self) -> None:
        """Close all connections."""
        await self._calls.aclose()

    async def list_runs(
        self, life: messages.WorkerLife, order: ports.LeaseOrder
    ) -> ports.WorkerList:
        """Extend the lease, acknowledge ends and return both lists."""
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
        answer = _http.decode(res, _ListAnswer, PEER)
        return ports.WorkerList(
            answer.born,
            answer.clockMs,
            tuple(_run_row(row) for row in answer.running),
            tuple(messages.EndRow(*row) for row in answer.ended),
        )

    async def start(
        self,
        life: messages.WorkerLife,
        order: messages.StartOrder,
        start_until_ms: int,
        fencing: int,
    ) -> ports.StartResult:
        """Start a run, refused after ``start_until_ms`` by its clock."""
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
        """Stop a run; a start of it that arrives later is refused."""
        body = {'task': run.task, 'run': run.run, 'fencingToken': fencing}
        await self._post('/run-stop', life, body, CALL_TIMEOUT_S)

    async def pace(
        self,
        life: messages.WorkerLife,
        order: messages.PaceOrder,
        fencing: int,
    ) -> None:
        """Limit a run to a share of its processors."""
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
            res = await self._calls.call(
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
        if res.status_code in _REFUSALS:
            raise errors.WorkerRefused(
                _reason(res), step=step, peer=life.worker_id
            )
        raise errors.WorkerOutcomeUnknown(
            f'status {res.status_code}', step=step, peer=life.worker_id
        )


def _reason(res: typing.Any) -> str:
    if res.status_code == _WRONG_LIFE:
        return 'another life'
    try:
        answer = msgspec.json.decode(res.content, type=_RefusalAnswer)
    except msgspec.DecodeError:
        return f'status {res.status_code}'
    return answer.reason or f'status {res.status_code}'


def _run_row(row: tuple[typing.Any, ...]) -> messages.RunRow:
    task, run, checkpoint, percent = row[:4]
    load = float(row[4]) if len(row) > 4 else 0.0
    return messages.RunRow(task, run, checkpoint, int(percent), load)
