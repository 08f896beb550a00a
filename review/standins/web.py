"""A small HTTP/1.1 server and client on asyncio, without dependencies."""

import asyncio
import json
import urllib.parse


class Request:
    """One request that a server has read."""

    def __init__(self, method, target, headers, body, connection):
        self.method = method
        parts = urllib.parse.urlsplit(target)
        self.path = urllib.parse.unquote(parts.path)
        self.query = dict(urllib.parse.parse_qsl(parts.query))
        self.headers = headers
        self.body = body
        self.connection = connection

    def json(self):
        """Return the decoded body."""
        return json.loads(self.body) if self.body else {}


class Connection:
    """A connection that a server has accepted.

    Once ``silent`` is set, nothing more is read or answered on it, and it is
    not closed.
    """

    def __init__(self, writer):
        self.writer = writer
        self.silent = False


async def _read_head(reader):
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, colon, value = line.partition(':')
        if colon:
            headers[name.strip().lower()] = value.strip()
    return first, headers


class Server:
    """Serves requests with ``handle(request) -> (status, value)``."""

    def __init__(self, handle):
        self._handle = handle
        self.connections = set()
        self._server = None

    async def start(self, host, port):
        """Listen at an address."""
        self._server = await asyncio.start_server(self._serve, host, port)

    async def _serve(self, reader, writer):
        connection = Connection(writer)
        self.connections.add(connection)
        try:
            while True:
                first, headers = await _read_head(reader)
                size = int(headers.get('content-length', 0))
                body = await reader.readexactly(size)
                if connection.silent:
                    await asyncio.sleep(3600)
                method, target, _ = first.split(' ')
                req = Request(method, target, headers, body, connection)
                status, value = await self._handle(req)
                if connection.silent:
                    await asyncio.sleep(3600)
                data = json.dumps(value).encode()
                writer.write(
                    f'HTTP/1.1 {status} Status\r\n'
                    'Content-Type: application/json\r\n'
                    f'Content-Length: {len(data)}\r\n\r\n'.encode()
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.connections.discard(connection)
            writer.close()


async def _exchange(address, method, path, body, headers):
    host, port = address.rsplit(':', 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        data = b'' if body is None else json.dumps(body).encode()
        lines = [f'{method} {path} HTTP/1.1', 'Connection: close']
        all_headers = {'Host': address, **(headers or {})}
        if body is not None:
            all_headers['Content-Type'] = 'application/json'
        all_headers['Content-Length'] = str(len(data))
        lines += [f'{name}: {value}' for name, value in all_headers.items()]
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + data)
        await writer.drain()
        first, answered = await _read_head(reader)
        if 'content-length' in answered:
            content = await reader.readexactly(int(answered['content-length']))
        else:
            content = await reader.read()
        return int(first.split(' ')[1]), content
    finally:
        writer.close()


async def call(
    address, method, path, body=None, *, headers=None, timeout_s=3.0
):
    """Make one call; status 0 means that there was no complete answer.

    :returns: the status, and the decoded body or None.
    """
    try:
        status, content = await asyncio.wait_for(
            _exchange(address, method, path, body, headers), timeout_s
        )
    except (TimeoutError, OSError, EOFError, ValueError):
        return 0, None
    try:
        return status, json.loads(content)
    except ValueError:
        return status, None
