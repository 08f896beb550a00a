"""Simulated callers that record the outcome of each request."""

import itertools
import time
import typing

import httpx
import trio

from drills import _records
from standins import backend_server
from standins import fleet

KEY_HEADER = 'x-business-key'
READY_POLL_S = 0.1
READ_CHUNK_BYTES = 64 * 1024
CALL_TIMEOUT_S = 20.0


class Callers:
    """Sends requests through entries chosen as by a load balancer.

    :param client: HTTP client.
    :param entries: all entries.
    """

    def __init__(
        self, client: httpx.AsyncClient, entries: tuple[fleet.EntryHost, ...]
    ) -> None:
        self._client = client
        self._entries = entries
        self._key_numbers = itertools.count()
        self._next_index = 0
        self._ready = entries

    def new_key(self, prefix: str) -> str:
        """Return a new, unused business key."""
        return f'{prefix}-{next(self._key_numbers)}'

    def next_entry(self) -> fleet.EntryHost:
        """Return the next entry considered ready by the load balancer."""
        self._next_index += 1
        return self._ready[self._next_index % len(self._ready)]

    async def poll_readiness(self) -> None:
        """Poll the readiness of all entries until cancelled."""
        while True:
            ready_by_entry: dict[str, bool] = {}
            async with trio.open_nursery() as nursery:
                for entry in self._entries:
                    nursery.start_soon(
                        self._check_readiness, entry, ready_by_entry
                    )
            ready = tuple(e for e in self._entries if ready_by_entry[e.name])
            self._ready = ready or self._entries
            await trio.sleep(READY_POLL_S)

    async def _check_readiness(
        self, entry: fleet.EntryHost, ready_by_entry: dict[str, bool]
    ) -> None:
        try:
            answer = await self._client.get(
                f'{entry.callers_url}/readyz', timeout=0.5
            )
            ready_by_entry[entry.name] = answer.status_code == 200
        except httpx.HTTPError:
            ready_by_entry[entry.name] = False

    async def call(
        self,
        service: str,
        path: str,
        key: str,
        calls: list[_records.Call],
        *,
        method: str = 'GET',
        entry: fleet.EntryHost | None = None,
        size: int | None = None,
        pause_s: float = 0.0,
        timeout_s: float = CALL_TIMEOUT_S,
        headers: typing.Mapping[str, str] | None = None,
    ) -> _records.Call:
        """Send one request and record its outcome.

        :param service: name of the service.
        :param path: path and query at the backend server.
        :param key: business key, also sent as the body.
        :param calls: list to which the record is appended.
        :param method: HTTP method.
        :param entry: entry to use, the next one if None.
        :param size: size in bytes of the expected pattern; None expects the
            key.
        :param pause_s: pause after each chunk, to simulate a slow reader.
        :param timeout_s: timeout of each network operation, in seconds.
        :param headers: additional headers.
        :returns: the record.
        """
        entry = entry or self.next_entry()
        began = time.time()
        expected = (
            key.encode() if size is None else backend_server.pattern(size)
        )
        status, outcome, detail = 0, '', ''
        try:
            async with self._client.stream(
                method,
                f'{entry.callers_url}/services/{service}{path}',
                content=key.encode(),
                headers={KEY_HEADER: key, **(headers or {})},
                timeout=timeout_s,
            ) as response:
                status = response.status_code
                outcome = response.headers.get('citronrail-outcome', '')
                body = await _read_body(response, pause_s)
            answer = _classify_response(status, body, expected)
            if answer is not _records.ResponseKind.COMPLETE:
                detail = body[:200].decode(errors='replace')
        except httpx.HTTPError as exc:
            answer, outcome, detail = (
                _records.ResponseKind.ABORTED,
                '',
                repr(exc),
            )
        call = _records.Call(
            key,
            service,
            entry.name,
            began,
            time.time(),
            status,
            outcome,
            answer,
            detail,
        )
        calls.append(call)
        return call

    async def call_periodically(
        self,
        service: str,
        prefix: str,
        calls: list[_records.Call],
        stop: trio.Event,
        interval_s: float,
        path: str = '/quick?ms=5',
        method: str = 'GET',
    ) -> None:
        """Send a request at each interval until ``stop`` is set."""
        async with trio.open_nursery() as nursery:
            while not stop.is_set():
                key = self.new_key(prefix)

                async def call_once(key: str = key) -> None:
                    await self.call(service, path, key, calls, method=method)

                nursery.start_soon(call_once)
                with trio.move_on_after(interval_s):
                    await stop.wait()


async def _read_body(response: httpx.Response, pause_s: float) -> bytes:
    chunks = []
    async for chunk in response.aiter_bytes(READ_CHUNK_BYTES):
        chunks.append(chunk)
        if pause_s:
            await trio.sleep(pause_s)
    return b''.join(chunks)


def _classify_response(
    status: int, body: bytes, expected: bytes
) -> _records.ResponseKind:
    if status != 200:
        return _records.ResponseKind.ERROR_STATUS
    if body == expected:
        return _records.ResponseKind.COMPLETE
    if expected.startswith(body):
        return _records.ResponseKind.TRUNCATED
    return _records.ResponseKind.MISMATCHED
