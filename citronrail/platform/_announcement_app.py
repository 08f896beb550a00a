"""HTTP application for the announcements of the worker on this host."""

import msgspec
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing
import trio

from citronrail.model import messages
from citronrail import observability
from citronrail.observability.catalogue import workflow as events
from citronrail.platform import _http_apps
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


def announcement_app(agent: workflow.WorkerAgent) -> applications.Starlette:
    """Create the application for the worker on this host.

    :param agent: receives the announced incarnations and states.
    :returns: an ASGI application.
    """
    last_seq: dict[tuple[str, int], int] = {}

    async def heartbeat(req: requests.Request) -> responses.Response:
        worker_id = req.path_params['worker_id']
        try:
            worker_heartbeat = _DECODER.decode(await _http_apps.read_body(req))
        except (ValueError, trio.TooSlowError) as exc:
            return _refuse(worker_id, repr(exc))
        if worker_heartbeat.state not in STATES:
            return _refuse(
                worker_id, f'unknown state {worker_heartbeat.state!r}'
            )
        key = (worker_id, worker_heartbeat.born)
        life = _worker_life(worker_id, worker_heartbeat)
        if worker_heartbeat.seq > last_seq.get(key, -1) and agent.announce(
            life
        ):
            last_seq.clear()
            last_seq[key] = worker_heartbeat.seq
        return _http_apps.json_response(200, {})

    async def leave(req: requests.Request) -> responses.Response:
        agent.leave(req.path_params['worker_id'])
        return _http_apps.json_response(200, {})

    return applications.Starlette(
        routes=[
            routing.Route(
                '/Instances.Heartbeat/{worker_id}', heartbeat, methods=['POST']
            ),
            routing.Route(
                '/Instances.Deregister/{worker_id}', leave, methods=['POST']
            ),
        ]
    )


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


def _refuse(worker_id: str, reason: str) -> responses.Response:
    observability.emit(
        events.ANNOUNCEMENT_REFUSED, reason=f'{worker_id[:40]}: {reason}'
    )
    return _http_apps.json_response(400, {})
