"""HTTP application of the checkpoint store.

``PUT /checkpoints?token=T`` with ``{"progress_s": N}`` stores a checkpoint,
``GET /checkpoints?token=T`` returns it or 404. ``GET /admin/reads`` returns
the number of reads of each token. ``POST /admin/switches`` with
``{"outage": true}`` answers 503 to everything else.
"""

import collections

import msgspec
import quart
import quart_trio


class _Progress(msgspec.Struct, frozen=True):
    progress_s: float


class _Switches(msgspec.Struct, frozen=True):
    outage: bool = False


def make_app() -> quart_trio.QuartTrio:
    """Return the application; checkpoints are kept in memory."""
    app = quart_trio.QuartTrio(__name__)
    stored: dict[str, _Progress] = {}
    reads: collections.Counter[str] = collections.Counter()
    switches = [_Switches()]

    @app.route('/checkpoints', methods=['PUT', 'GET'])
    async def checkpoints() -> quart.Response:
        if switches[0].outage:
            return _json({'error': 'switched off'}, 503)
        token = quart.request.args.get('token', '')
        if quart.request.method == 'PUT':
            data = await quart.request.get_data()
            stored[token] = msgspec.json.decode(data, type=_Progress)
            return _json({})
        if token not in stored:
            return _json({'error': 'unknown token'}, 404)
        reads[token] += 1
        return _json(stored[token])

    @app.route('/admin/reads', methods=['GET'])
    async def list_reads() -> quart.Response:
        return _json(dict(reads))

    @app.route('/admin/switches', methods=['POST'])
    async def set_switches() -> quart.Response:
        data = await quart.request.get_data()
        switches[0] = msgspec.json.decode(data, type=_Switches)
        return _json(switches[0])

    return app


def _json(value: object, status: int = 200) -> quart.Response:
    return quart.Response(
        msgspec.json.encode(value), status, content_type='application/json'
    )
