"""HTTP callers that send requests to services through the entries."""

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
class ResponseStats:
    """Outcomes and latencies of requests; latencies in seconds."""

    outcomes: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    latencies: list[float] = dataclasses.field(default_factory=list)
    problems: list[str] = dataclasses.field(default_factory=list)

    def percentile_ms(self, fraction: float) -> float:
        """Return a percentile of the latencies in milliseconds.

        :param fraction: percentile as a fraction, 0.99 for p99.
        :returns: the percentile; NaN without a latency.
        """
        if not self.latencies:
            return float('nan')
        ordered = sorted(self.latencies)
        index = min(len(ordered) - 1, int(fraction * len(ordered)))
        return ordered[index] * 1000

    @property
    def complete_count(self) -> int:
        """Number of complete responses with the expected body."""
        return self.outcomes['whole']


class Callers:
    """Distributes requests over the entries in round-robin order.

    Requests also rotate over several HTTP clients. The overhead of a client
    grows with its number of connections: one client with 100 concurrent
    callers took more time per request than the system.

    :param clients: HTTP clients.
    :param entries: initial targets of the requests.
    """

    def __init__(
        self,
        clients: tuple[httpx.AsyncClient, ...],
        entries: tuple[fleet.EntryHost, ...],
    ) -> None:
        self._client = clients[0]
        self._clients = itertools.cycle(clients)
        self.set_entries(entries)

    def set_entries(self, entries: tuple[fleet.EntryHost, ...]) -> None:
        """Replace the entries that receive later requests.

        :param entries: the new targets.
        """
        self._urls = itertools.cycle([e.callers_url for e in entries])

    async def watch_readiness(
        self, entries: tuple[fleet.EntryHost, ...]
    ) -> None:
        """Poll readiness and send only to ready entries.

        Sends to all entries while none is ready.
        """
        while True:
            ready = [e for e in entries if await self._is_ready(e)]
            self.set_entries(tuple(ready) or entries)
            await trio.sleep(0.1)

    async def _is_ready(self, entry: fleet.EntryHost) -> bool:
        try:
            response = await self._client.get(
                f'{entry.callers_url}/readyz', timeout=1.0
            )
        except httpx.HTTPError:
            return False
        return response.status_code == 200

    async def send_request(
        self,
        method: str,
        service: str,
        path: str,
        stats: ResponseStats,
        key: str = '',
        **headers: str,
    ) -> httpx.Response | None:
        """Send one request and check that the response belongs to it.

        :param method: HTTP method.
        :param service: name of the service.
        :param path: path and query at the backend server.
        :param stats: records the outcome and latency.
        :param key: business key that the backend server echoes; random by
            default.
        :param headers: further headers, with ``_`` in place of ``-``.
        :returns: the response; None after a transport error.
        """
        key = key or str(uuid_utils.uuid7())
        request_headers = {
            name.replace('_', '-'): v for name, v in headers.items()
        }
        url = f'{next(self._urls)}/services/{service}{path}'
        started_at = time.perf_counter()
        try:
            response = await next(self._clients).request(
                method,
                url,
                content=key.encode(),
                headers={KEY_HEADER: key, **request_headers},
            )
        except httpx.HTTPError as exc:
            stats.outcomes['broken'] += 1
            stats.problems.append(f'{method} {path}: {exc!r}')
            return None
        stats.latencies.append(time.perf_counter() - started_at)
        self._record(response, key, stats)
        return response

    def _record(
        self, response: httpx.Response, key: str, stats: ResponseStats
    ) -> None:
        outcome = response.headers.get('citronrail-outcome', '')
        if response.status_code != 200:
            stats.outcomes[outcome or 'failed'] += 1
            stats.problems.append(
                f'{response.status_code}: {response.text[:200]}'
            )
        elif response.content != key.encode():
            stats.outcomes['mixed'] += 1
            stats.problems.append(
                f'response body belongs to another request, not to {key}'
            )
        else:
            stats.outcomes['whole'] += 1

    async def send_periodically(
        self,
        service: str,
        stats: ResponseStats,
        stop: trio.Event,
        interval_s: float,
        path: str = '/quick',
        method: str = 'GET',
    ) -> None:
        """Send requests at a fixed interval until ``stop`` is set.

        This is an open loop: it doesn't wait for earlier responses.
        """
        async with trio.open_nursery() as nursery:
            while not stop.is_set():
                nursery.start_soon(
                    self.send_request, method, service, path, stats
                )
                with trio.move_on_after(interval_s):
                    await stop.wait()

    async def follow_feed(
        self, service: str, event_ids: list[int], stop: trio.Event
    ) -> None:
        """Read an event stream, resuming after the last event received."""
        while not stop.is_set():
            headers = {'accept': 'text/event-stream'}
            if event_ids:
                headers['last-event-id'] = str(event_ids[-1])
            url = f'{next(self._urls)}/services/{service}/feed'
            try:
                await self._read_feed(url, headers, event_ids, stop)
            except httpx.HTTPError:
                await trio.sleep(0.05)

    async def _read_feed(
        self,
        url: str,
        headers: dict[str, str],
        event_ids: list[int],
        stop: trio.Event,
    ) -> None:
        async with self._client.stream(
            'GET', url, headers=headers, timeout=None
        ) as response:
            if response.status_code != 200:
                await trio.sleep(0.2)
                return
            async for line in response.aiter_lines():
                if line.startswith('id: '):
                    event_ids.append(int(line[4:]))
                if stop.is_set():
                    return
