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
from citronrail.model import recency
from citronrail import observability
from citronrail.observability.catalogue import workflow as events
from citronrail.platform import _http_apps
from citronrail.platform import _transport_metrics as metrics
from citronrail import workflow

STATES = ('ready', 'draining')
# Incarnations whose last sequence number is kept. Those that another writer
# announces must not displace the one of the worker.
MAX_SEQUENCES = 16
_Labels = typing.Annotated[
    tuple[bounded.Name, ...], msgspec.Meta(max_length=256)
]


class _Capacity(msgspec.Struct, frozen=True):
    cpu: bounded.Amount
    memMb: bounded.Amount  # noqa: N815 - name on the wire
    gpu: bounded.Amount = 0


class _Heartbeat(msgspec.Struct, frozen=True):
    """A heartbeat, which is refused as a whole.

    The fields that are not used show whether it is one of a worker.
    """

    service: bounded.Name
    addr: bounded.Name
    zone: bounded.Name
    version: bounded.Name
    slots: bounded.Amount
    state: bounded.Name
    coldLeftMs: bounded.SignedNumber  # noqa: N815 - name on the wire
    # A greater one would make all later announcements old.
    seq: bounded.Amount
    capacity: _Capacity
    labels: _Labels
    clockMs: bounded.Count = 0  # noqa: N815 - name on the wire
    born: bounded.UnixMs = 0
    drainRemainingMs: bounded.Number = 0.0  # noqa: N815 - name on the wire


def announcement_app(
    agent: workflow.WorkerAgent, service: str
) -> applications.Starlette:
    """Create the application for the worker on this host.

    :param agent: receives the announced incarnations and states.
    :param service: service of the worker; announcements with another one are
        refused. '' if the settings don't name it.
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
        if service and worker_heartbeat.service != service:
            return _refuse(
                worker_id, f'another service {worker_heartbeat.service[:40]!a}'
            )
        key = (worker_id, worker_heartbeat.born)
        if worker_heartbeat.seq > last_seq.get(key, -1):
            recency.put_last(
                last_seq, key, worker_heartbeat.seq, MAX_SEQUENCES
            )
            agent.announce(_worker_life(worker_id, worker_heartbeat))
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
