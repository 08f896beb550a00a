"""Load generator process: ``python -m measure._load``.

Reads one JSON document with a :class:`Load` from standard input, sends the
requests and prints one JSON document with a :class:`LoadResult`. It ends by
itself after the warm-up, the measured time and a grace time for late answers.
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
    """What to send.

    With ``rate_per_s`` above 0 the load is an open loop: requests fall due at
    random times whatever happened to earlier ones, and latency counts from
    the time at which a request was due. ``callers`` then bounds the requests
    open at a time. With ``rate_per_s`` 0 each caller sends its next request
    when it got the answer to the last one. Caller n uses URL n in turn.
    """

    urls: tuple[str, ...]
    callers: int
    rate_per_s: float = 0.0
    warm_up_s: float = 1.0
    measured_s: float = 4.0
    seed: int = 1


@dataclasses.dataclass(frozen=True)
class LoadResult:
    """What came of it; latencies in milliseconds.

    ``done`` counts whole answers within the measured time, ``failed`` other
    answers and broken connections, and ``unsent`` requests that were due but
    not sent when the time was over. ``busy_share`` is the share of a core
    that the generator used: near 1.0 it is itself the bottleneck.
    """

    latencies_ms: tuple[float, ...]
    done: int
    failed: int
    unsent: int
    measured_s: float
    busy_share: float


class Generator:
    """Sends one load.

    :param load: what to send.
    """

    def __init__(self, load: Load) -> None:
        self._load = load
        self._latencies_ms: list[float] = []
        self._done = 0
        self._failed = 0
        self._from = 0.0
        self._until = 0.0

    async def run(self) -> LoadResult:
        """Send until the time is over."""
        load = self._load
        self._from = trio.current_time() + load.warm_up_s
        self._until = self._from + load.measured_s
        processor_s, began = time.process_time(), time.perf_counter()
        bound = load.callers if load.rate_per_s else 0
        send, receive = trio.open_memory_channel[float](10**6 if bound else 0)
        with trio.move_on_at(self._until + GRACE_S):
            async with trio.open_nursery() as nursery:
                for number in range(load.callers):
                    nursery.start_soon(self._caller, number, receive.clone())
                if load.rate_per_s:
                    await self._schedule(send)
                    unsent = send.statistics().current_buffer_used
                    nursery.start_soon(_drop_all, receive)
                else:
                    unsent = 0
                send.close()
        wall_s = time.perf_counter() - began
        return LoadResult(
            tuple(self._latencies_ms),
            self._done,
            self._failed,
            unsent,
            load.measured_s,
            (time.process_time() - processor_s) / wall_s,
        )

    async def _schedule(self, due: trio.MemorySendChannel[float]) -> None:
        """Pass on the times at which requests are due."""
        rng = random.Random(self._load.seed)
        at = trio.current_time()
        while at < self._until:
            await trio.sleep_until(at)
            due.send_nowait(at)
            at += rng.expovariate(self._load.rate_per_s)

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
                async for at in due:
                    await self._call(transport, url, at)
            else:
                while trio.current_time() < self._until:
                    await self._call(transport, url, trio.current_time())

    async def _call(
        self, transport: httpx.AsyncHTTPTransport, url: str, due_at: float
    ) -> None:
        whole = False
        request = httpx.Request('GET', url, extensions=_TIMEOUTS)
        try:
            response = await transport.handle_async_request(request)
            try:
                await response.aread()
                whole = response.status_code == 200
            finally:
                await response.aclose()
        except httpx.HTTPError:
            pass
        now = trio.current_time()
        if whole and self._from <= now < self._until:
            self._done += 1
        if self._from <= due_at < self._until:
            if whole:
                self._latencies_ms.append((now - due_at) * 1000)
            else:
                self._failed += 1


_TIMEOUTS = {
    'timeout': httpx.Timeout(REQUEST_TIMEOUT_S).as_dict(),
}


async def _drop_all(due: trio.MemoryReceiveChannel[float]) -> None:
    """Drop requests that are still due when the time is over."""
    async with due:
        while due.statistics().current_buffer_used:
            due.receive_nowait()


def main() -> None:
    """Read the load, send it and print the result."""
    load = msgspec.json.decode(sys.stdin.buffer.read(), type=Load)
    result = trio.run(Generator(load).run)
    sys.stdout.buffer.write(msgspec.json.encode(result))


if __name__ == '__main__':
    main()
