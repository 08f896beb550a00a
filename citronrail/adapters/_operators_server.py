"""The operators' HTTP port of an entry."""

import collections.abc
import dataclasses
import typing

import msgspec
import quart
import quart_trio
import trio
import werkzeug.exceptions

from citronrail.adapters import _problem_json
from citronrail import errors
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import outcome as outcomes
from citronrail import observability
from citronrail import ports

MAX_BODY_BYTES = 256 * 1024
# Slower bodies are rejected, so that idle senders do not hold connections.
BODY_TIMEOUT_S = 10
MAX_TIMEOUT_MS = 600_000
MAX_NODE_ID_CHARACTERS = 100
JSON = 'application/json'


class Commands(typing.Protocol):
    """Executes commands."""

    async def execute(
        self, command_id: identifiers.CommandId, text: str, deadline: float
    ) -> messages.CommandReply:
        """Execute a command before a deadline on the local clock."""
        ...


@dataclasses.dataclass(frozen=True)
class CommandRequest:
    """Body of ``POST /commands``.

    ``timeout_ms`` limits the execution time.
    """

    command_id: str
    text: str
    timeout_ms: int = 10_000


@dataclasses.dataclass(frozen=True)
class Process:
    """A process in the response of ``GET /peers``."""

    node_id: str
    boot_id: str
    role: str
    data_centre: str
    rack: str = ''
    address: str = ''


@dataclasses.dataclass(frozen=True)
class OperatorsPort:
    """Dependencies of the operators' port.

    :param commands: executes commands.
    :param ready: whether this entry accepts work.
    :param timelines: timelines of this process and its peers, or None.
    :param processes: returns this process and its peers.
    """

    commands: Commands
    ready: collections.abc.Callable[[], bool]
    timelines: observability.TimelineSource | None = None
    processes: collections.abc.Callable[[], tuple[Process, ...]] = tuple


def connected_processes(
    hub: ports.PeerHub, hello: messages.Hello
) -> tuple[Process, ...]:
    """List a process and its peers, for ``GET /peers``.

    :param hub: connections of the process.
    :param hello: the process's own Hello message.
    :returns: the process first, then entries and agents.
    """
    own = Process(
        hub.node_id,
        hub.boot_id,
        hello.role,
        hello.data_centre,
        hello.rack,
        hello.address,
    )
    peers = (*hub.peers('entry'), *hub.peers('agent'))
    return (
        own,
        *(
            Process(
                peer.node_id,
                peer.boot_id,
                peer.role,
                peer.data_centre,
                peer.rack,
                peer.address,
            )
            for peer in peers
        ),
    )


def operators_app(
    commands: Commands,
    ready: collections.abc.Callable[[], bool],
    timelines: observability.TimelineSource | None = None,
    processes: collections.abc.Callable[[], tuple[Process, ...]] = tuple,
    max_body_bytes: int = MAX_BODY_BYTES,
) -> quart_trio.QuartTrio:
    """Create the application of an entry's operators' port.

    ``POST /commands`` executes a command and responds with 200 and a
    :class:`~citronrail.model.messages.CommandReply` as JSON, whatever its
    outcome, which is also in the header ``Citronrail-Outcome``. Malformed
    requests are rejected with problem+json and do not run; while the entry
    is not ready, all requests are rejected with status 503. ``GET /timeline``
    returns the timeline, that of a peer with ``?process=NODE``; ``GET
    /peers`` lists the processes; ``/metrics``, ``/livez`` and ``/readyz``
    serve the platform.

    :param commands: executes commands.
    :param ready: whether this entry accepts work.
    :param timelines: timelines of this process and its peers, or None.
    :param processes: returns this process and its peers.
    :param max_body_bytes: maximum size of a request body.
    :returns: an ASGI application.
    """
    port = OperatorsPort(commands, ready, timelines, processes)
    app = quart_trio.QuartTrio(__name__, static_folder=None)
    app.config['MAX_CONTENT_LENGTH'] = max_body_bytes
    app.config['BODY_TIMEOUT'] = BODY_TIMEOUT_S
    _add_commands(app, port)
    _add_views(app, port)
    _add_errors(app)
    return app


def _add_commands(app: quart_trio.QuartTrio, port: OperatorsPort) -> None:
    @app.post('/commands')
    async def command() -> quart.Response:
        if not port.ready():
            # A distinct status, so that tools retry at the next entry.
            raise werkzeug.exceptions.ServiceUnavailable(
                'This entry is starting or about to stop'
            )
        req = await _command_request()
        deadline = trio.current_time() + req.timeout_ms / 1000
        reply = await port.commands.execute(
            identifiers.CommandId(req.command_id), req.text, deadline
        )
        return quart.Response(
            msgspec.json.encode(reply),
            headers={_problem_json.OUTCOME_HEADER: reply.outcome.value},
            content_type=JSON,
        )


def _add_views(app: quart_trio.QuartTrio, port: OperatorsPort) -> None:
    @app.get('/timeline')
    async def timeline() -> quart.Response:
        found = await _timeline(port, quart.request.args.get('process', ''))
        return quart.Response(observability.to_json(found), content_type=JSON)

    @app.get('/peers')
    async def peers() -> quart.Response:
        return quart.Response(
            msgspec.json.encode(port.processes()), content_type=JSON
        )

    @app.get('/metrics')
    async def metrics() -> quart.Response:
        return quart.Response(
            observability.exposition(), content_type=observability.CONTENT_TYPE
        )

    @app.get('/livez')
    async def livez() -> str:
        return 'ok\n'

    @app.get('/readyz')
    async def readyz() -> tuple[str, int]:
        return ('ok\n', 200) if port.ready() else ('not ready\n', 503)


def _add_errors(app: quart_trio.QuartTrio) -> None:
    @app.errorhandler(werkzeug.exceptions.HTTPException)
    async def on_error(
        exc: werkzeug.exceptions.HTTPException,
    ) -> quart.Response:
        problem = _problem_json.rejected_request(
            exc.code or 500, exc.name, exc.description or ''
        )
        if problem.status == 500:
            # The command may have been executed before the error.
            problem = dataclasses.replace(
                problem, outcome=outcomes.Outcome.UNKNOWN
            )
        return _problem_json.response(problem)

    @app.errorhandler(errors.PeerUnreachable)
    async def on_unreachable(exc: errors.PeerUnreachable) -> quart.Response:
        return _problem_json.response(
            _problem_json.rejected_request(404, 'Process not found', str(exc))
        )

    @app.errorhandler(errors.PeerTimeout)
    async def on_timeout(exc: errors.PeerTimeout) -> quart.Response:
        return _problem_json.response(
            _problem_json.rejected_request(504, 'No answer in time', str(exc))
        )


async def _command_request() -> CommandRequest:
    """Decode the command in the current request body.

    :raises werkzeug.exceptions.BadRequest: if it is malformed.
    """
    data = await quart.request.get_data(as_text=False)
    try:
        req = msgspec.json.decode(data, type=CommandRequest)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise werkzeug.exceptions.BadRequest(
            f'The body is no command: {exc}'
        ) from exc
    if not 1 <= req.timeout_ms <= MAX_TIMEOUT_MS:
        raise werkzeug.exceptions.BadRequest(
            f'timeout_ms is 1 to {MAX_TIMEOUT_MS}'
        )
    return req


async def _timeline(
    port: OperatorsPort, process: str
) -> observability.ProcessTimeline:
    if port.timelines is None or len(process) > MAX_NODE_ID_CHARACTERS:
        raise werkzeug.exceptions.NotFound('There is no such timeline')
    if not process:
        return port.timelines.own()
    return await port.timelines.fetch(identifiers.NodeId(process))
