"""HTTP application for the announcements of the worker on this host."""

import typing

import msgspec
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing
import trio

from citronrail.model import bounded
from citronrail.model import codec
from citronrail.model import messages
from citronrail import observability
from citronrail.observability.catalogue import workflow as events
from citronrail.platform import _http_apps
from citronrail.platform import _transport_metrics as metrics
from citronrail import workflow

STATES = ('ready', 'draining')
_Labels = typing.Annotated[
    tuple[bounded.Name, ...], msgspec.Meta(max_length=256)
]


class _Capacity(msgspec.Struct, frozen=True):
    cpu: bounded.Amount
    memMb: bounded.Amount  # noqa: N815 - name on the wire
    gpu: bounded.Amount = 0


class _Heartbeat(msgspec.Struct, frozen=True):
    service: bounded.Name
    zone: bounded.Name
    state: bounded.Name
    # A greater one would make all later announcements old, like a time of
    # birth in the far future.
    seq: bounded.Amount
    capacity: _Capacity
    labels: _Labels = ()
    born: bounded.UnixMs = 0
    drainRemainingMs: bounded.Number = 0.0  # noqa: N815 - name on the wire


def announcement_app(agent: workflow.WorkerAgent) -> applications.Starlette:
    """Create the application for the worker on this host.

    :param agent: receives the announced incarnations and states.
    :returns: an ASGI application.
    """
    last_seq: dict[tuple[str, int], int] = {}

    async def heartbeat(req: requests.Request) -> responses.Response:
        worker_id = req.path_params['worker_id']
        if not bounded.is_token(worker_id):
            return _refuse(worker_id, 'the ID can be sent in no header')
        try:
            worker_heartbeat = codec.from_json(
                await _http_apps.read_body(req), _Heartbeat
            )
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
    metrics.REFUSED.labels('announcement').inc()
    observability.emit(
        events.ANNOUNCEMENT_REFUSED, reason=f'{worker_id[:40]!a}: {reason}'
    )
    return _http_apps.json_response(400, {})
