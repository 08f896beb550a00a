"""The agent's local HTTP port."""

import collections.abc
import dataclasses
import typing
import urllib.parse

import prometheus_client
import quart
import quart_trio
import werkzeug.exceptions

from citronrail.adapters import _problem_json
from citronrail import errors
from citronrail.model import bounded
from citronrail.model import codec
from citronrail.model import identifiers
from citronrail import observability
from citronrail import routing

MAX_BODY_BYTES = 64 * 1024
MAX_SERVICE_NAME = 100


@dataclasses.dataclass(frozen=True)
class Announcement:
    """Body of an announcement; ``address`` is ``http://IP:PORT``."""

    address: bounded.Text
    incarnation: bounded.Id = 0
    leaving: bool = False


def _no_timeline() -> observability.ProcessTimeline:
    return observability.snapshot('', '', 'agent')


def agent_app(
    runner: routing.RequestRunner,
    ready: collections.abc.Callable[[], bool],
    timeline: collections.abc.Callable[
        [], observability.ProcessTimeline
    ] = _no_timeline,
) -> quart_trio.QuartTrio:
    """Create the application of the agent's local port.

    ``PUT /backends/<service>`` announces a backend server and must be
    repeated every second; ``DELETE`` withdraws the announcement.
    ``/metrics``, ``/livez`` and ``/readyz`` serve the platform,
    ``/timeline`` serves operators.

    :param runner: stores the announcements.
    :param ready: whether this agent accepts work.
    :param timeline: returns the events of this process.
    :returns: an ASGI application.
    """
    app = quart_trio.QuartTrio(__name__, static_folder=None)
    app.config['MAX_CONTENT_LENGTH'] = MAX_BODY_BYTES

    @app.put('/backends/<service>')
    async def announce(service: str) -> tuple[str, int]:
        announcement = await _read_announcement(service)
        runner.announce(
            identifiers.ServiceName(service),
            announcement.address,
            announcement.incarnation,
            announcement.leaving,
        )
        return '', 204

    @app.delete('/backends/<service>')
    async def withdraw(service: str) -> tuple[str, int]:
        announcement = await _read_announcement(service)
        runner.withdraw(identifiers.ServiceName(service), announcement.address)
        return '', 204

    @app.get('/metrics')
    async def metrics() -> quart.Response:
        return quart.Response(
            prometheus_client.generate_latest(),
            content_type=prometheus_client.CONTENT_TYPE_LATEST,
        )

    @app.get('/timeline')
    async def show_timeline() -> quart.Response:
        return quart.Response(
            observability.to_json(timeline()), content_type='application/json'
        )

    @app.get('/livez')
    async def livez() -> str:
        return 'ok\n'

    @app.get('/readyz')
    async def readyz() -> tuple[str, int]:
        return ('ok\n', 200) if ready() else ('not ready\n', 503)

    @app.errorhandler(errors.CommandRefused)
    async def on_refused(exc: errors.CommandRefused) -> quart.Response:
        return _problem_json.response(
            _problem_json.rejected_request(409, 'Refused', exc.message)
        )

    @app.errorhandler(werkzeug.exceptions.HTTPException)
    async def on_error(
        exc: werkzeug.exceptions.HTTPException,
    ) -> quart.Response:
        return _problem_json.response(
            _problem_json.rejected_request(
                exc.code or 500, exc.name, exc.description or ''
            )
        )

    return app


def _is_backend_address(text: str) -> bool:
    try:
        parts = urllib.parse.urlsplit(text)
        return parts.scheme == 'http' and parts.port != 0
    except ValueError:  # also for a port beyond 65535
        return False


async def _read_announcement(service: str) -> Announcement:
    """Decode the announcement in the current request body.

    :raises werkzeug.exceptions.BadRequest: if it is malformed.
    """
    data = typing.cast(bytes, await quart.request.get_data(as_text=False))
    try:
        announcement = codec.from_json(data, Announcement)
    except errors.Undecodable as exc:
        raise werkzeug.exceptions.BadRequest(exc.message) from exc
    if len(service) > MAX_SERVICE_NAME:
        raise werkzeug.exceptions.BadRequest('The service name is too long')
    if not _is_backend_address(announcement.address):
        raise werkzeug.exceptions.BadRequest(
            'The address must be http://IP:PORT'
        )
    return announcement
