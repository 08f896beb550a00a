"""HTTP application for the announcements of the worker on this host."""

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
    """Create the application for the worker on this host.

    :param agent: receives the announced incarnations and states.
    :returns: an ASGI application.
    """
    app = quart_trio.QuartTrio(__name__)
    last_seq: dict[tuple[str, int], int] = {}

    @app.post('/Instances.Heartbeat/<worker_id>')
    async def heartbeat(worker_id: str) -> quart.Response:
        body = await quart.request.get_data()
        try:
            worker_heartbeat = _DECODER.decode(body)
        except msgspec.DecodeError as exc:
            return _refuse(worker_id, str(exc))
        if worker_heartbeat.state not in STATES:
            return _refuse(
                worker_id, f'unknown state {worker_heartbeat.state!r}'
            )
        key = (worker_id, worker_heartbeat.born)
        if worker_heartbeat.seq > last_seq.get(key, -1):
            last_seq.clear()
            last_seq[key] = worker_heartbeat.seq
            agent.announce(_worker_life(worker_id, worker_heartbeat))
        return quart.Response('{}', 200, content_type='application/json')

    @app.post('/Instances.Deregister/<worker_id>')
    async def leave(worker_id: str) -> quart.Response:
        agent.leave(worker_id)
        return quart.Response('{}', 200, content_type='application/json')

    return app


def _worker_life(
    worker_id: str, worker_heartbeat: _Heartbeat
) -> messages.WorkerLife:
    return messages.WorkerLife(
        worker_id=worker_id,
        born_ms=worker_heartbeat.born,
        service=worker_heartbeat.service,
        data_centre=worker_heartbeat.zone,
        state=worker_heartbeat.state,
        cpu_millis=worker_heartbeat.capacity.cpu,
        memory_mb=worker_heartbeat.capacity.memMb,
        accelerators=worker_heartbeat.capacity.gpu,
        labels=worker_heartbeat.labels,
        drain_left_s=worker_heartbeat.drainRemainingMs / 1000,
    )


def _refuse(worker_id: str, reason: str) -> quart.Response:
    observability.emit(
        events.ANNOUNCEMENT_REFUSED, reason=f'{worker_id[:40]}: {reason}'
    )
    return quart.Response('{}', 400, content_type='application/json')
