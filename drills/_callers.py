"""Callers that record how each of their requests ended."""

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
READ_PART_BYTES = 64 * 1024
CALL_TIMEOUT_S = 20.0


class Callers:
    """Sends requests through entries, as a load balancer chooses them.

    :param client: HTTP client.
    :param entries: all entries.
    """

    def __init__(
        self, client: httpx.AsyncClient, entries: tuple[fleet.EntryHost, ...]
    ) -> None:
        self._client = client
        self._entries = entries
        self._numbers = itertools.count()
        self._turn = 0
        self._ready = entries

    def new_key(self, prefix: str) -> str:
        """Return a business key that was not used before."""
        return f'{prefix}-{next(self._numbers)}'

    def next_entry(self) -> fleet.EntryHost:
        """Return the next entry that the load balancer holds for ready."""
        self._turn += 1
        return self._ready[self._turn % len(self._ready)]

    async def follow_readiness(self) -> None:
        """Ask all entries again and again whether they are ready."""
        while True:
            answers: dict[str, bool] = {}
            async with trio.open_nursery() as nursery:
                for entry in self._entries:
                    nursery.start_soon(self._ask, entry, answers)
            ready = tuple(e for e in self._entries if answers[e.name])
            self._ready = ready or self._entries
            await trio.sleep(READY_POLL_S)

    async def _ask(
        self, entry: fleet.EntryHost, answers: dict[str, bool]
    ) -> None:
        try:
            answer = await self._client.get(
                f'{entry.callers_url}/readyz', timeout=0.5
            )
            answers[entry.name] = answer.status_code == 200
        except httpx.HTTPError:
            answers[entry.name] = False

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
        """Send one request and record how it ended.

        :param service: name of the service.
        :param path: path and query at the backend server.
        :param key: business key, sent as body too.
        :param calls: where to record it.
        :param method: HTTP method.
        :param entry: entry to use, the next one if None.
        :param size: bytes of the answer's pattern; None expects the key.
        :param pause_s: pause of a slow reader after each part of the answer.
        :param timeout_s: longest wait for a part of the answer.
        :param headers: more headers.
        :returns: the record.
        """
        entry = entry or self.next_entry()
        began = time.time()
        wanted = key.encode() if size is None else backend_server.pattern(size)
        status, outcome, detail = 0, '', ''
        try:
            async with self._client.stream(
                method,
                f'{entry.callers_url}/services/{service}{path}',
                content=key.encode(),
                headers={KEY_HEADER: key, **(headers or {})},
                timeout=timeout_s,
            ) as got:
                status = got.status_code
                outcome = got.headers.get('citronrail-outcome', '')
                body = await _read(got, pause_s)
            answer = _judge(status, body, wanted)
            if answer is not _records.Answer.WHOLE:
                detail = body[:200].decode(errors='replace')
        except httpx.HTTPError as exc:
            answer, outcome, detail = _records.Answer.BROKEN, '', repr(exc)
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

    async def keep_calling(
        self,
        service: str,
        prefix: str,
        calls: list[_records.Call],
        stop: trio.Event,
        interval_s: float,
        path: str = '/quick?ms=5',
        method: str = 'GET',
    ) -> None:
        """Send a request at each interval until told to stop."""
        async with trio.open_nursery() as nursery:
            while not stop.is_set():
                key = self.new_key(prefix)

                async def one(key: str = key) -> None:
                    await self.call(service, path, key, calls, method=method)

                nursery.start_soon(one)
                with trio.move_on_after(interval_s):
                    await stop.wait()


async def _read(got: httpx.Response, pause_s: float) -> bytes:
    parts = []
    async for part in got.aiter_bytes(READ_PART_BYTES):
        parts.append(part)
        if pause_s:
            await trio.sleep(pause_s)
    return b''.join(parts)


def _judge(status: int, body: bytes, wanted: bytes) -> _records.Answer:
    if status != 200:
        return _records.Answer.PROBLEM
    if body == wanted:
        return _records.Answer.WHOLE
    if wanted.startswith(body):
        return _records.Answer.CUT
    return _records.Answer.MIXED
