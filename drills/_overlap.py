"""Two or three failures at once, together or twice, drawn by the seed."""

import collections.abc
import dataclasses
import random
import time

import httpx
import trio
import uuid_utils

from drills import _history
from drills import _records
from drills import _world

ROUNDS = 5
FINISH_TIMEOUT_S = 75.0
RETRIES = 3

Failure = collections.abc.Callable[
    ['_Overlap', random.Random], collections.abc.Awaitable[None]
]


@dataclasses.dataclass(frozen=True)
class _Drawn:
    """One failure to bring about, with its own source of chance."""

    name: str
    delay_s: float
    seed: int


def _draw(rng: random.Random) -> tuple[_Drawn, ...]:
    """Draw two or three failures; the same one may come twice."""
    names = rng.choices(sorted(FAILURES), k=rng.choice((2, 3)))
    return tuple(
        _Drawn(name, rng.uniform(0, 1.5), rng.randrange(2**32))
        for name in names
    )


async def overlap(world: _world.World) -> _records.Figures:
    """Bring about overlapping failures under all kinds of work."""
    run = _Overlap(world)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(world.callers.follow_readiness)
        for _ in range(6):
            nursery.start_soon(run.keep_ordering)
            nursery.start_soon(run.keep_asking)
        for _ in range(3):
            nursery.start_soon(run.keep_locking)
        for number, drawn in enumerate(run.rounds):
            await run.submit(number)
            await run.fail(drawn)
        run.stop.set()
        await trio.sleep(3.0)
        nursery.cancel_scope.cancel()
    await world.heal()
    return await run.figures()


@dataclasses.dataclass(frozen=True)
class _Found:
    """Violations by kind."""

    overfull: int
    overlaps: int
    doubled: int
    lost: int
    resumes: int
    answers: int
    not_run: int
    twice: int
    raced: int

    def __str__(self) -> str:
        return ', '.join(
            f'{value} {name}'
            for name, value in dataclasses.asdict(self).items()
        )


class _Overlap:
    """Work and failures of one run.

    :param world: the fleet.
    """

    def __init__(self, world: _world.World) -> None:
        self.world = world
        self.stop = trio.Event()
        self.calls: list[_records.Call] = []
        self.orders: set[str] = set()
        self.locks: set[str] = set()
        self.wanted: dict[str, int] = {}
        # Drawn before callers use the same source in any order.
        self.rounds = [_draw(world.rng) for _ in range(ROUNDS)]
        self.raced = 0

    # Work

    async def submit(self, number: int) -> None:
        """Start jobs: a plan with wrong sizes, an exclusive rota."""
        rng = self.world.rng
        plan, rota = f'pp-plan{number}-0', f'pp-rota-{number}'
        factor = rng.choice((0.1, 1.0, 10.0))
        reply = await self.world.start_job(plan, 10, 4.0, size_factor=factor)
        if reply.done:
            self.wanted[plan] = 10
        reply = await self.world.start_job(
            rota, 1, 4.0, options='urgent exclusive'
        )
        if reply.done:
            self.wanted[rota] = 1

    async def keep_ordering(self) -> None:
        """Send non-idempotent requests and retry them elsewhere."""
        while not self.stop.is_set():
            key = self.world.callers.new_key('pp-order')
            self.orders.add(key)
            headers = {'idempotency-key': str(uuid_utils.uuid7())}
            for _ in range(RETRIES):
                call = await self.world.callers.call(
                    _world.SERVICE,
                    '/quick?ms=40',
                    key,
                    self.calls,
                    method='POST',
                    headers=headers,
                    timeout_s=self.world.rng.choice((0.06, 4.0)),
                )
                if call.answer is _records.Answer.WHOLE:
                    break
                await trio.sleep(self.world.rng.uniform(0.0, 0.5))

    async def keep_asking(self) -> None:
        """Send requests that must not run when reported so."""
        while not self.stop.is_set():
            await self.world.callers.call(
                _world.SERVICE,
                '/quick?ms=60',
                self.world.callers.new_key('pp-ask'),
                self.calls,
                method=self.world.rng.choice(('GET', 'POST')),
                headers={
                    'citronrail-timeout-ms': self.world.rng.choice(
                        ('50', '80', '3000')
                    )
                },
            )
            await trio.sleep(0.05)

    async def keep_locking(self) -> None:
        """Send exclusive requests for one key at a time."""
        key = f'pp-lock{len(self.locks) % 2}'
        self.locks.add(key)
        while not self.stop.is_set():
            calls: list[_records.Call] = []
            await self.world.callers.call(
                _world.SERVICE,
                '/quick?ms=150',
                key,
                calls,
                method='POST',
                headers={'citronrail-exclusive': key},
                timeout_s=4.0,
            )
            await trio.sleep(0.1)

    # Failures

    async def fail(self, drawn: tuple[_Drawn, ...]) -> None:
        """Bring about failures together, then heal."""
        await trio.sleep(1.0)
        async with trio.open_nursery() as nursery:
            for failure in drawn:
                nursery.start_soon(self._fail_one, failure)
        await trio.sleep(1.0)
        await self.world.heal()

    async def _fail_one(self, failure: _Drawn) -> None:
        await trio.sleep(failure.delay_s)
        await FAILURES[failure.name](self, random.Random(failure.seed))

    async def kill_entry(self, rng: random.Random) -> None:
        """One of citronrail's own processes dies: an entry."""
        entry = rng.choice(self.world.system.entries)
        await self.world.kill_and_restart(entry.name, 4.0)

    async def kill_agent(self, rng: random.Random) -> None:
        """One of citronrail's own processes dies: an agent."""
        host = rng.choice(self.world.system.hosts)
        await self.world.kill_and_restart(host.agent, 2.0)

    async def fail_host(self, rng: random.Random) -> None:
        """A host fails with its worker and agent."""
        host = rng.choice(self.world.system.hosts)
        self.world.kill(host.agent)
        self.world.kill(host.worker)
        await trio.sleep(3.0)
        self.world.revive(host.worker)
        self.world.revive(host.agent)

    async def pause_entry(self, rng: random.Random) -> None:
        """Leases expire while their holder is paused."""
        entry = rng.choice(self.world.system.entries)
        await self.world.freeze(entry.name, 7.0)

    async def pause_agent(self, rng: random.Random) -> None:
        """An agent can't be reached for a time."""
        host = rng.choice(self.world.system.hosts)
        await self.world.freeze(host.agent, 5.0)

    async def store_down(self, _rng: random.Random) -> None:
        """The store is down."""
        await self.world.outage(6.0)

    async def store_slow(self, _rng: random.Random) -> None:
        """The store is slow."""
        await self.world.store(delay_s=0.3)
        await trio.sleep(5.0)
        await self.world.store(delay_s=0.0)

    async def lost_answers(self, _rng: random.Random) -> None:
        """Answers of the store are lost after the write."""
        await self.world.store(lose_every=3)
        await trio.sleep(5.0)
        await self.world.store(lose_every=0)

    async def noisy_wave(self, rng: random.Random) -> None:
        """A wave of short tasks; many are cancelled in a burst."""
        job = f'pp-wave-{rng.randrange(10**9)}'
        await self.world.start_job(job, 100, 1.0, memory_mb=100)
        await trio.sleep(1.5)
        await self.world.operator.send(f'cancel tasks where job = {job}')

    async def impossible_job(self, rng: random.Random) -> None:
        """A job that can never run."""
        job = f'pp-huge-{rng.randrange(10**9)}'
        await self.world.start_job(job, 3, 1.0, memory_mb=900_000)

    async def failing_worker(self, rng: random.Random) -> None:
        """A worker fails everything that it starts."""
        host = rng.choice(self.world.system.hosts)
        url = f'{host.worker_url}/admin/switches'
        await self._switch(url, True)
        await trio.sleep(4.0)
        await self._switch(url, False)

    async def _switch(self, url: str, failing: bool) -> None:
        try:
            await self.world.client.post(
                url, json={'fail_everything': failing}
            )
        except httpx.HTTPError:
            await trio.sleep(0.0)  # the host has failed as well

    async def racing_operators(self, rng: random.Random) -> None:
        """Two operators change the same at the same version."""
        reply = await self.world.operator.send('show settings limit 1', 5.0)
        version = reply.settings_version
        won: list[bool] = []

        async def change(target: int) -> None:
            sent = await self.world.operator.send(
                f'change service {_world.SERVICE} latency target'
                f' {rng.randrange(40, 90)}.{target}ms'
                f' if version {version}',
                8.0,
                url=self.world.system.entries[target].operators_url,
            )
            won.append(sent.done)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(change, 0)
            nursery.start_soon(change, 1)
        self.raced += sum(won) > 1

    # Verdict

    async def figures(self) -> _records.Figures:
        """Wait for the work to end and check the records."""
        world = self.world
        began = time.monotonic()
        done = await world.finished(self.wanted, FINISH_TIMEOUT_S)
        took_s = time.monotonic() - began
        await trio.sleep(_world.SETTLE_S)
        runs = world.runs('pp-')
        backend = await world.backend_runs('pp-')
        lost, doubled = _history.not_finished_once(runs, self.wanted)
        _, twice = _history.wrong_resumes(runs)
        found = _Found(
            _history.fullness(
                world.runs(), world.sizes, world.capacity
            ).overfull,
            _history.tasks_in_two_places(runs)
            + _history.keys_in_two_places(backend, self.locks),
            doubled,
            lost,
            twice,
            sum(_history.wrong_answers(self.calls)),
            len(_history.false_not_run(_asks(self.calls), backend)),
            len(_history.run_twice(backend, self.orders)),
            self.raced,
        )
        total = sum(dataclasses.asdict(found).values())
        return _records.Figures(
            len(runs) + len(self.calls),
            total,
            f'{total} of any kind',
            proved=done and bool(self.wanted),
            notes=(
                *(
                    'drawn: ' + ' + '.join(one.name for one in drawn)
                    for drawn in self.rounds
                ),
                str(found),
                f'{sum(self.wanted.values())} tasks finished'
                f' {took_s:.0f} s after; {_world.counts(self.calls)}',
            ),
        )


def _asks(calls: list[_records.Call]) -> list[_records.Call]:
    """Return calls whose key was sent only once."""
    return [call for call in calls if call.key.startswith('pp-ask')]


FAILURES: dict[str, Failure] = {
    'entry dies': _Overlap.kill_entry,
    'agent dies': _Overlap.kill_agent,
    'host fails': _Overlap.fail_host,
    'entry paused': _Overlap.pause_entry,
    'agent paused': _Overlap.pause_agent,
    'store down': _Overlap.store_down,
    'store slow': _Overlap.store_slow,
    'answers lost': _Overlap.lost_answers,
    'noisy wave and cancellations': _Overlap.noisy_wave,
    'impossible job': _Overlap.impossible_job,
    'failing worker': _Overlap.failing_worker,
    'racing operators': _Overlap.racing_operators,
}
