"""A small HTTP/1.1 server and client on asyncio, with JSON bodies."""

import asyncio
import json


class Request:
    """One request: method, path, query, headers (lower case) and body."""

    def __init__(self, method, target, headers, body):
        path, _, query = target.partition('?')
        self.method = method
        self.path = path
        self.query = _parse_query(query)
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body or b'{}')


def _parse_query(text):
    import urllib.parse

    return dict(urllib.parse.parse_qsl(text, keep_blank_values=True))


async def read_message(reader):
    """Read the first line, the headers and the body of a message."""
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(':')
            headers[name.strip().lower()] = value.strip()
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = await _read_chunks(reader)
    else:
        body = await reader.readexactly(int(headers.get('content-length', 0)))
    return lines[0], headers, body


async def _read_chunks(reader):
    body = b''
    while True:
        size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
        body += await reader.readexactly(size)
        await reader.readuntil(b'\r\n')
        if not size:
            return body


def encode(first_line, body, headers=()):
    """Encode a message with a body of JSON."""
    data = b'' if body is None else json.dumps(body).encode()
    lines = [
        first_line,
        'Content-Type: application/json',
        f'Content-Length: {len(data)}',
        *(f'{name}: {value}' for name, value in headers),
    ]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode() + data


async def serve(handle, host, port):
    """Serve ``handle(request) -> (status, body)``; None gives no response.

    A request without a response keeps its connection open and silent.
    """

    writers = set()

    async def connection(reader, writer):
        writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(' ')
                answer = await handle(Request(method, target, headers, body))
                if answer is None:
                    await reader.read()  # until the caller closes
                    return
                status, content = answer
                writer.write(encode(f'HTTP/1.1 {status} X', content))
                await writer.drain()
        except (
            asyncio.CancelledError,  # the case has ended
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
            ConnectionError,
            ValueError,
        ):
            return
        finally:
            writers.discard(writer)
            writer.close()

    server = await asyncio.start_server(
        connection, host, port, limit=1 << 20, backlog=512
    )
    server.writers = writers
    return server


async def call(method, address, path, body=None, headers=(), timeout_s=3.0):
    """Make one call on a connection of its own.

    :returns: status and JSON body; (0, reason) without a complete response.
    """
    host, _, port = address.rpartition(':')
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                host, int(port), limit=1 << 20
            )
            names = {name.lower() for name, _ in headers}
            if 'host' not in names:
                headers = [('Host', address), *headers]
            writer.write(encode(f'{method} {path} HTTP/1.1', body, headers))
            line, _, data = await read_message(reader)
            status = int(line.split(' ')[1])
            try:
                return status, json.loads(data or b'{}')
            except ValueError:
                return status, {}
    except (
        TimeoutError,
        OSError,
        asyncio.IncompleteReadError,
        asyncio.LimitOverrunError,
    ) as exc:
        return 0, {'reason': repr(exc)}
    finally:
        if writer is not None:
            writer.close()
