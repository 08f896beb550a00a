"""Compares two at-most-once designs: ``python -m measure.reservation``.

The keeper holds idempotency keys in the memory of the range's owner. The
reservation holds them in the store, a stand-in over HTTP on loopback.
"""

import argparse
import contextlib
import dataclasses
import json
import pathlib
import random
import statistics
import subprocess
import sys
import time
import typing
import uuid

import httpx
from loguru import logger
import trio

from citronrail import adapters
from citronrail import coordination
from citronrail.coordination import _store_reservation as reservations
from citronrail import errors
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import outcome as outcomes

WRITES_PER_S = 400
READS_PER_S = 2000
WRITES = ('txn', 'grant_lease', 'keep_alive', 'revoke_lease')
RESPONSE_BODY = b'x' * 512
KILL_PROBABILITY = 0.3
OUTPUT = pathlib.Path('build/reservation.json')


@dataclasses.dataclass
class Row:
    """Figures of one design; times in milliseconds."""

    design: str
    requests: int = 0
    writes_per_request: float = 0.0
    reads_per_request: float = 0.0
    p50_ms: float = 0.0
    p99_ms: float = 0.0
    possible_per_s: float = 0.0
    offered_per_s: float = 0.0
    served_per_s: float = 0.0
    refused: int = 0
    kills: int = 0
    doubled: int = 0
    retries_unanswered: int = 0


def make_key(rng: random.Random) -> str:
    """Return a UUIDv7 with the current time."""
    value = int(time.time() * 1000) << 80 | 7 << 76 | 2 << 62
    return str(uuid.UUID(int=value | rng.getrandbits(62)))


class KeeperDesign:
    """Reserves keys in the memory of the range's owner."""

    def __init__(self) -> None:
        self.clock = coordination.SteadyClock()
        self.keeper = coordination.IdempotencyKeeper(coordination.range_of(''))

    async def reserve(self, key: str, request: str) -> str:
        """Return the verdict for a request."""
        now = self.clock.now()
        msg = messages.ReserveKey(
            identifiers.RequestId(request),
            self.keeper.range_id,
            key,
            '',
            'f',
            30.0,
            now.local + 10.0,
        )
        return self.keeper.reserve(msg, now, now.local + 5.0).reply.verdict

    async def complete(self, key: str, request: str) -> None:
        """Record the response to a granted request."""
        msg = messages.CompleteKey(
            identifiers.RequestId(request),
            self.keeper.range_id,
            key,
            '',
            outcomes.Outcome.DONE,
            True,
            200,
        )
        self.keeper.complete(msg, RESPONSE_BODY, self.clock.now())

    async def kill(self) -> None:
        """Replace the owner by one without any records."""
        self.keeper = coordination.IdempotencyKeeper(
            self.keeper.range_id, taken_over=self.clock.now()
        )

    async def reset_after_kill(self) -> None:
        """Replace the owner by one whose takeover margin has passed."""
        self.keeper = coordination.IdempotencyKeeper(self.keeper.range_id)


class StoreDesign:
    """Reserves keys in the store."""

    def __init__(
        self, store: typing.Any, admin: 'StoreAdmin', reservation_s: float
    ) -> None:
        self._reservation = reservations.StoreReservation(store, reservation_s)
        self._admin = admin
        self._tokens: dict[str, int] = {}
        self._expires = reservation_s < 600.0

    async def reserve(self, key: str, request: str) -> str:
        """Return the verdict for a request."""
        verdict = await self._reservation.reserve(key, request, 'f')
        self._tokens[request] = verdict.token
        return verdict.verdict

    async def complete(self, key: str, request: str) -> None:
        """Promote the reservation of a granted request."""
        token = self._tokens.pop(request)
        await self._reservation.promote(key, token, RESPONSE_BODY)

    async def kill(self) -> None:
        """Expire the reservation of the killed holder."""
        if self._expires:
            await self._admin.post('lapse-leases')

    async def reset_after_kill(self) -> None:
        """Do nothing; a kill leaves no state behind."""


class StoreAdmin:
    """Client for the admin endpoints of the store stand-in."""

    def __init__(self, url: str) -> None:
        self._url = f'{url}/admin/'
        self._client = httpx.AsyncClient(trust_env=False)

    async def post(self, path: str) -> None:
        """Invoke an admin action."""
        (await self._client.post(self._url + path)).raise_for_status()

    async def counts(self) -> dict[str, int]:
        """Return the number of calls so far by kind."""
        found: dict[str, int] = (
            await self._client.get(self._url + 'counts')
        ).json()
        return found


@contextlib.contextmanager
def running_store() -> typing.Iterator[str]:
    """Run the store stand-in in a child process and yield its URL."""
    process = subprocess.Popen(
        [sys.executable, '-m', 'standins.key_value', '--port', '0'],
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        assert process.stdout is not None
        line = process.stdout.readline()
        yield f'http://{line.split()[-1]}'
    finally:
        process.terminate()
        process.wait(timeout=10)


async def measure_calls(
    row: Row,
    design: typing.Any,
    admin: StoreAdmin,
    count: int,
    rng: random.Random,
) -> None:
    """Measure latency and store calls of sequential requests."""
    before = await admin.counts()
    times_ms: list[float] = []

    for number in range(count):
        key, request = make_key(rng), f'{number}-{rng.getrandbits(64)}'
        started_at = time.perf_counter()
        verdict = await design.reserve(key, request)
        assert verdict == 'granted', verdict
        await design.complete(key, request)
        times_ms.append((time.perf_counter() - started_at) * 1000.0)
    after = await admin.counts()
    call_counts = {kind: after[kind] - before.get(kind, 0) for kind in after}
    row.requests = len(times_ms)
    writes = sum(call_counts.get(kind, 0) for kind in WRITES)
    row.writes_per_request = writes / row.requests
    reads = sum(n for kind, n in call_counts.items() if kind not in WRITES)
    row.reads_per_request = reads / row.requests
    percentiles = statistics.quantiles(times_ms, n=100)
    row.p50_ms, row.p99_ms = percentiles[49], percentiles[98]


async def measure_rate(
    row: Row, design: typing.Any, offered: int, seconds: float, seed: int
) -> None:
    """Send requests at a fixed rate within the store's call budget."""
    rng = random.Random(seed)
    served = 0

    async def send_request(number: int) -> None:
        nonlocal served
        try:
            key = make_key(rng)
            if await design.reserve(key, f'q{number}') == 'granted':
                await design.complete(key, f'q{number}')
                served += 1
        except errors.CitronrailError:
            row.refused += 1

    started_at = trio.current_time()
    async with trio.open_nursery() as nursery:
        for number in range(int(offered * seconds)):
            await trio.sleep_until(started_at + number / offered)
            nursery.start_soon(send_request, number)
    row.offered_per_s = offered
    row.served_per_s = served / (trio.current_time() - started_at)


async def measure_kills(
    row: Row, design: typing.Any, count: int, rng: random.Random
) -> None:
    """Kill some holders during the run and retry every request once."""
    for number in range(count):
        key, runs = make_key(rng), 0
        if await design.reserve(key, f'k{number}') == 'granted':
            runs += 1
        if rng.random() < KILL_PROBABILITY:
            row.kills += 1
            await design.kill()
        else:
            await design.complete(key, f'k{number}')
        verdict = await design.reserve(key, f'k{number}-retry')
        if verdict == 'granted':
            runs += 1
            await design.complete(key, f'k{number}-retry')
        elif verdict != 'done':
            row.retries_unanswered += 1
        row.doubled += runs > 1
        await design.reset_after_kill()


async def measure(url: str, seed: int, count: int) -> list[Row]:
    """Measure all designs against the store at ``url``."""
    rng = random.Random(seed)
    admin = StoreAdmin(url)
    store = adapters.EtcdStore([url])
    budget = coordination.StoreBudget(WRITES_PER_S, READS_PER_S)
    budgeted_store = coordination.BudgetedStore(store, budget).for_use(
        coordination.StoreUse.SHARD
    )
    rows = []
    for name, reservation_s in (
        ('keeper', 0.0),
        ('store, reserved for the run', 30.0),
        ('store, reserved for the key lifetime', 600.0),
    ):
        row = Row(name)
        unlimited: typing.Any = KeeperDesign()
        rate_limited: typing.Any = KeeperDesign()
        if reservation_s:
            unlimited = StoreDesign(store, admin, reservation_s)
            rate_limited = StoreDesign(budgeted_store, admin, reservation_s)
        await measure_calls(row, unlimited, admin, count, rng)
        row.possible_per_s = max_requests_per_s(row)
        await measure_rate(row, rate_limited, 300, 5.0, seed)
        await measure_kills(row, unlimited, count // 4, rng)
        rows.append(row)
    await store.aclose()
    return rows


def max_requests_per_s(row: Row) -> float:
    """Return the request rate that the store's call limits allow."""
    limits = [
        rate / calls
        for rate, calls in (
            (WRITES_PER_S, row.writes_per_request),
            (READS_PER_S, row.reads_per_request),
        )
        if calls
    ]
    return min(limits, default=float('inf'))


def print_table(rows: list[Row]) -> None:
    """Print the rows as a table."""
    for field in dataclasses.fields(Row):
        cells = []
        for row in rows:
            value = getattr(row, field.name)
            cells.append(f'{value:.3f}' if type(value) is float else value)
        print(f'{field.name:20}', *(f'{cell!s:>38}' for cell in cells))


def main() -> None:
    """Measure, print a table and write ``build/reservation.json``."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--requests', type=int, default=800)
    args = parser.parse_args()
    logger.remove()
    with running_store() as url:
        rows = trio.run(measure, url, args.seed, args.requests)
    print(f'seed {args.seed}')
    print_table(rows)
    OUTPUT.parent.mkdir(exist_ok=True)
    report = {'seed': args.seed, 'rows': [dataclasses.asdict(r) for r in rows]}
    text = json.dumps(report, indent=2).replace('Infinity', 'null')
    OUTPUT.write_text(text + '\n')


if __name__ == '__main__':
    main()
