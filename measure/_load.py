"""Load generator process: ``python -m measure._load``.

Reads a :class:`Load` as JSON from standard input, sends the requests and
prints a :class:`LoadResult` as JSON. Exits after the warm-up, the measured
time and a grace period for late responses.
"""

import dataclasses
import random
import sys
import time

import httpx
import msgspec
import trio

GRACE_S = 5.0
REQUEST_TIMEOUT_S = 10.0
START_STAGGER_S = 0.002


@dataclasses.dataclass(frozen=True)
class Load:
    """Description of a load.

    With ``rate_per_s`` above 0 the load is an open loop: requests fall due as
    a Poisson process independent of earlier responses, and latency counts
    from the due time. ``callers`` then limits the concurrent requests. With
    ``rate_per_s`` 0 the load is a closed loop: each caller sends its next
    request after the previous response. The URLs are assigned to callers in
    round-robin order.
    """

    urls: tuple[str, ...]
    callers: int
    rate_per_s: float = 0.0
    warm_up_s: float = 1.0
    measured_s: float = 4.0
    seed: int = 1


@dataclasses.dataclass(frozen=True)
class LoadResult:
    """Result of a load; latencies in milliseconds.

    ``done`` counts complete responses within the measured time, ``failed``
    other responses and transport errors, and ``unsent`` requests that were
    due but not sent at the end. ``busy_share`` is the share of a core that
    the generator used: near 1.0 the generator is the bottleneck.
    """

    latencies_ms: tuple[float, ...]
    done: int
    failed: int
    unsent: int
    measured_s: float
    busy_share: float


class LoadGenerator:
    """Sends one load.

    :param load: the load to send.
    """

    def __init__(self, load: Load) -> None:
        self._load = load
        self._latencies_ms: list[float] = []
        self._done = 0
        self._failed = 0
        self._measured_from = 0.0
        self._measured_until = 0.0

    async def run(self) -> LoadResult:
        """Send requests until the measured time ends."""
        load = self._load
        self._measured_from = trio.current_time() + load.warm_up_s
        self._measured_until = self._measured_from + load.measured_s
        processor_s, started_at = time.process_time(), time.perf_counter()
        max_open_requests = load.callers if load.rate_per_s else 0
        send, receive = trio.open_memory_channel[float](
            10**6 if max_open_requests else 0
        )
        with trio.move_on_at(self._measured_until + GRACE_S):
            async with trio.open_nursery() as nursery:
                for number in range(load.callers):
                    nursery.start_soon(self._caller, number, receive.clone())
                if load.rate_per_s:
                    await self._schedule(send)
                    unsent = send.statistics().current_buffer_used
                    nursery.start_soon(_discard_pending, receive)
                else:
                    unsent = 0
                send.close()
        wall_s = time.perf_counter() - started_at
        return LoadResult(
            tuple(self._latencies_ms),
            self._done,
            self._failed,
            unsent,
            load.measured_s,
            (time.process_time() - processor_s) / wall_s,
        )

    async def _schedule(self, due: trio.MemorySendChannel[float]) -> None:
        """Queue the due times of the requests."""
        rng = random.Random(self._load.seed)
        due_time = trio.current_time()
        while due_time < self._measured_until:
            await trio.sleep_until(due_time)
            due.send_nowait(due_time)
            due_time += rng.expovariate(self._load.rate_per_s)

    async def _caller(
        self, number: int, due: trio.MemoryReceiveChannel[float]
    ) -> None:
        url = self._load.urls[number % len(self._load.urls)]
        transport = httpx.AsyncHTTPTransport(
            verify=False,
            limits=httpx.Limits(max_connections=1, keepalive_expiry=60.0),
        )
        await trio.sleep(START_STAGGER_S * number)
        async with transport:
            if self._load.rate_per_s:
                async for due_time in due:
                    await self._call(transport, url, due_time)
            else:
                while trio.current_time() < self._measured_until:
                    await self._call(transport, url, trio.current_time())

    async def _call(
        self, transport: httpx.AsyncHTTPTransport, url: str, due_at: float
    ) -> None:
        is_complete = False
        request = httpx.Request('GET', url, extensions=_TIMEOUTS)
        try:
            response = await transport.handle_async_request(request)
            try:
                await response.aread()
                is_complete = response.status_code == 200
            finally:
                await response.aclose()
        except httpx.HTTPError:
            pass
        now = trio.current_time()
        if is_complete and self._measured_from <= now < self._measured_until:
            self._done += 1
        if self._measured_from <= due_at < self._measured_until:
            if is_complete:
                self._latencies_ms.append((now - due_at) * 1000)
            else:
                self._failed += 1


_TIMEOUTS = {
    'timeout': httpx.Timeout(REQUEST_TIMEOUT_S).as_dict(),
}


async def _discard_pending(due: trio.MemoryReceiveChannel[float]) -> None:
    """Discard requests that are still queued at the end."""
    async with due:
        while due.statistics().current_buffer_used:
            due.receive_nowait()


def main() -> None:
    """Read the load, send it and print the result."""
    load = msgspec.json.decode(sys.stdin.buffer.read(), type=Load)
    result = trio.run(LoadGenerator(load).run)
    sys.stdout.buffer.write(msgspec.json.encode(result))


if __name__ == '__main__':
    main()
