"""Callers of both users' services."""

import collections
import dataclasses
import itertools
import time

import httpx
import trio
import uuid_utils

from standins import fleet

KEY_HEADER = 'x-business-key'


@dataclasses.dataclass
class Tally:
    """What callers saw. Times in seconds."""

    answers: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    latencies: list[float] = dataclasses.field(default_factory=list)
    problems: list[str] = dataclasses.field(default_factory=list)

    def percentile_ms(self, share: float) -> float:
        """Return a percentile of the latencies in milliseconds."""
        if not self.latencies:
            return float('nan')
        ordered = sorted(self.latencies)
        place = min(len(ordered) - 1, int(share * len(ordered)))
        return ordered[place] * 1000

    @property
    def whole(self) -> int:
        """Number of whole, correct answers."""
        return self.answers['whole']


class Callers:
    """Sends callers' requests through the entries in turn.

    :param client: HTTP client.
    :param entries: the entries, as a load balancer would choose them.
    """

    def __init__(
        self, client: httpx.AsyncClient, entries: tuple[fleet.EntryHost, ...]
    ) -> None:
        self._client = client
        self.use(entries)

    def use(self, entries: tuple[fleet.EntryHost, ...]) -> None:
        """Send to these entries from now on.

        :param entries: those that the load balancer holds for ready.
        """
        self._urls = itertools.cycle([e.callers_url for e in entries])

    async def watch_readiness(
        self, entries: tuple[fleet.EntryHost, ...]
    ) -> None:
        """Use the entries that are ready, as a load balancer does."""
        while True:
            ready = [e for e in entries if await self._ready(e)]
            self.use(tuple(ready) or entries)
            await trio.sleep(0.1)

    async def _ready(self, entry: fleet.EntryHost) -> bool:
        try:
            answer = await self._client.get(
                f'{entry.callers_url}/readyz', timeout=1.0
            )
        except httpx.HTTPError:
            return False
        return answer.status_code == 200

    async def call(
        self,
        method: str,
        service: str,
        path: str,
        tally: Tally,
        key: str = '',
        **headers: str,
    ) -> httpx.Response | None:
        """Send one request and check that the answer is its own.

        :param method: HTTP method.
        :param service: name of the service.
        :param path: path and query at the backend server.
        :param tally: where to count.
        :param key: business key that the backend server echoes.
        :param headers: more headers, with ``_`` for ``-``.
        :returns: the answer; None if it broke off.
        """
        key = key or str(uuid_utils.uuid7())
        sent = {name.replace('_', '-'): v for name, v in headers.items()}
        url = f'{next(self._urls)}/services/{service}{path}'
        began = time.perf_counter()
        try:
            answer = await self._client.request(
                method,
                url,
                content=key.encode(),
                headers={KEY_HEADER: key, **sent},
            )
        except httpx.HTTPError as exc:
            tally.answers['broken'] += 1
            tally.problems.append(f'{method} {path}: {exc!r}')
            return None
        tally.latencies.append(time.perf_counter() - began)
        self._count(answer, key, tally)
        return answer

    def _count(self, answer: httpx.Response, key: str, tally: Tally) -> None:
        outcome = answer.headers.get('citronrail-outcome', '')
        if answer.status_code != 200:
            tally.answers[outcome or 'failed'] += 1
            tally.problems.append(f'{answer.status_code}: {answer.text[:200]}')
        elif answer.content != key.encode():
            tally.answers['mixed'] += 1
            tally.problems.append(f'answer of another request for {key}')
        else:
            tally.answers['whole'] += 1

    async def keep_calling(
        self,
        service: str,
        tally: Tally,
        stop: trio.Event,
        interval_s: float,
        path: str = '/quick',
        method: str = 'GET',
    ) -> None:
        """Send a request at each interval until told to stop.

        Requests are sent whether or not earlier ones were answered.
        """
        async with trio.open_nursery() as nursery:
            while not stop.is_set():
                nursery.start_soon(self.call, method, service, path, tally)
                with trio.move_on_after(interval_s):
                    await stop.wait()

    async def follow_feed(
        self, service: str, seen: list[int], stop: trio.Event
    ) -> None:
        """Follow a feed of events, reconnecting after the last one seen."""
        while not stop.is_set():
            headers = {'accept': 'text/event-stream'}
            if seen:
                headers['last-event-id'] = str(seen[-1])
            url = f'{next(self._urls)}/services/{service}/feed'
            try:
                await self._read_feed(url, headers, seen, stop)
            except httpx.HTTPError:
                await trio.sleep(0.05)

    async def _read_feed(
        self,
        url: str,
        headers: dict[str, str],
        seen: list[int],
        stop: trio.Event,
    ) -> None:
        async with self._client.stream(
            'GET', url, headers=headers, timeout=None
        ) as answer:
            if answer.status_code != 200:
                await trio.sleep(0.2)
                return
            async for line in answer.aiter_lines():
                if line.startswith('id: '):
                    seen.append(int(line[4:]))
                if stop.is_set():
                    return
