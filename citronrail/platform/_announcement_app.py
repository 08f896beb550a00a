"""Takes the announcements of the worker on this machine."""

import msgspec
import quart
import quart_trio

from citronrail.model import messages
from citronrail import observability
from citronrail.observability.catalogue import workflow as events
from citronrail import workflow

STATES = ('ready', 'draining')


class _Capacity(msgspec.Struct, frozen=True):
    cpu: int
    memMb: int  # noqa: N815 - name on the wire
    gpu: int = 0


class _Heartbeat(msgspec.Struct, frozen=True):
    service: str
    zone: str
    state: str
    seq: int
    capacity: _Capacity
    labels: tuple[str, ...] = ()
    born: int = 0
    drainRemainingMs: float = 0.0  # noqa: N815 - name on the wire


_DECODER = msgspec.json.Decoder(_Heartbeat)


def announcement_app(agent: workflow.WorkerAgent) -> quart_trio.QuartTrio:
    """Make the application for the worker on this machine.

    :param agent: told of each life and state of the worker.
    :returns: an ASGI application.
    """
    app = quart_trio.QuartTrio(__name__)
    last: dict[tuple[str, int], int] = {}

    @app.post('/Instances.Heartbeat/<worker_id>')
    async def heartbeat(worker_id: str) -> quart.Response:
        body = await quart.request.get_data()
        try:
            beat = _DECODER.decode(body)
        except msgspec.DecodeError as exc:
            return _refuse(worker_id, str(exc))
        if beat.state not in STATES:
            return _refuse(worker_id, f'unknown state {beat.state!r}')
        key = (worker_id, beat.born)
        if beat.seq > last.get(key, -1):
            last.clear()
            last[key] = beat.seq
            agent.announce(_life(worker_id, beat))
        return quart.Response('{}', 200, content_type='application/json')

    @app.post('/Instances.Deregister/<worker_id>')
    async def leave(worker_id: str) -> quart.Response:
        agent.leave(worker_id)
        return quart.Response('{}', 200, content_type='application/json')

    return app


def _life(worker_id: str, beat: _Heartbeat) -> messages.WorkerLife:
    return messages.WorkerLife(
        worker_id=worker_id,
        born_ms=beat.born,
        service=beat.service,
        data_centre=beat.zone,
        state=beat.state,
        cpu_millis=beat.capacity.cpu,
        memory_mb=beat.capacity.memMb,
        accelerators=beat.capacity.gpu,
        labels=beat.labels,
        drain_left_s=beat.drainRemainingMs / 1000,
    )


def _refuse(worker_id: str, reason: str) -> quart.Response:
    observability.emit(
        events.ANNOUNCEMENT_REFUSED, reason=f'{worker_id[:40]}: {reason}'
    )
    return quart.Response('{}', 400, content_type='application/json')
