"""Drill of two or three overlapping failures, chosen by the seed."""

import collections.abc
import dataclasses
import random
import time

import httpx
import trio
import uuid_utils

from drills import _env
from drills import _history
from drills import _records

ROUNDS = 5
FINISH_TIMEOUT_S = 75.0
MAX_ATTEMPTS = 3

FailureFunction = collections.abc.Callable[
    ['_Overlap', random.Random], collections.abc.Awaitable[None]
]


@dataclasses.dataclass(frozen=True)
class _PlannedFailure:
    """A failure to inject, with the seed of its own random choices."""

    name: str
    delay_s: float
    seed: int


def _choose_failures(rng: random.Random) -> tuple[_PlannedFailure, ...]:
    """Choose two or three failures; one may be chosen repeatedly."""
    names = rng.choices(sorted(FAILURES), k=rng.choice((2, 3)))
    return tuple(
        _PlannedFailure(name, rng.uniform(0, 1.5), rng.randrange(2**32))
        for name in names
    )


async def overlap(env: _env.Environment) -> _records.Figures:
    """Inject overlapping failures while all kinds of work are running."""
    run = _Overlap(env)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(env.callers.poll_readiness)
        for _ in range(6):
            nursery.start_soon(run.send_orders)
            nursery.start_soon(run.send_timed_requests)
        for _ in range(3):
            nursery.start_soon(run.send_exclusive_requests)
        for number, failures in enumerate(run.rounds):
            await run.submit(number)
            await run.inject_failures(failures)
        run.stop.set()
        await trio.sleep(3.0)
        nursery.cancel_scope.cancel()
    await env.clear_failures()
    return await run.figures()


@dataclasses.dataclass(frozen=True)
class _Violations:
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
    """Workload and failures of one run.

    :param world: the fleet.
    """

    def __init__(self, env: _env.Environment) -> None:
        self.env = env
        self.stop = trio.Event()
        self.calls: list[_records.Call] = []
        self.orders: set[str] = set()
        self.locks: set[str] = set()
        self.expected: dict[str, int] = {}
        # Chosen before callers use the same generator in varying order.
        self.rounds = [_choose_failures(env.rng) for _ in range(ROUNDS)]
        self.raced = 0

    # Work

    async def submit(self, number: int) -> None:
        """Submit a plan with wrong declared sizes and an exclusive rota."""
        rng = self.env.rng
        plan, rota = f'pp-plan{number}-0', f'pp-rota-{number}'
        factor = rng.choice((0.1, 1.0, 10.0))
        reply = await self.env.start_job(plan, 10, 4.0, size_factor=factor)
        if reply.done:
            self.expected[plan] = 10
        reply = await self.env.start_job(
            rota, 1, 4.0, options='urgent exclusive'
        )
        if reply.done:
            self.expected[rota] = 1

    async def send_orders(self) -> None:
        """Send non-idempotent requests and retry them at other entries."""
        while not self.stop.is_set():
            key = self.env.callers.new_key('pp-order')
            self.orders.add(key)
            headers = {'idempotency-key': str(uuid_utils.uuid7())}
            for _ in range(MAX_ATTEMPTS):
                call = await self.env.callers.call(
                    _env.SERVICE,
                    '/quick?ms=40',
                    key,
                    self.calls,
                    method='POST',
                    headers=headers,
                    timeout_s=self.env.rng.choice((0.06, 4.0)),
                )
                if call.answer is _records.ResponseKind.COMPLETE:
                    break
                await trio.sleep(self.env.rng.uniform(0.0, 0.5))

    async def send_timed_requests(self) -> None:
        """Send requests with short timeouts, some of which must not run."""
        while not self.stop.is_set():
            await self.env.callers.call(
                _env.SERVICE,
                '/quick?ms=60',
                self.env.callers.new_key('pp-ask'),
                self.calls,
                method=self.env.rng.choice(('GET', 'POST')),
                headers={
                    'citronrail-timeout-ms': self.env.rng.choice(
                        ('50', '80', '3000')
                    )
                },
            )
            await trio.sleep(0.05)

    async def send_exclusive_requests(self) -> None:
        """Send exclusive requests for one key, one after another."""
        key = f'pp-lock{len(self.locks) % 2}'
        self.locks.add(key)
        while not self.stop.is_set():
            calls: list[_records.Call] = []
            await self.env.callers.call(
                _env.SERVICE,
                '/quick?ms=150',
                key,
                calls,
                method='POST',
                headers={'citronrail-exclusive': key},
                timeout_s=4.0,
            )
            await trio.sleep(0.1)

    # Failures

    async def inject_failures(
        self, failures: tuple[_PlannedFailure, ...]
    ) -> None:
        """Inject failures concurrently, then clear them."""
        await trio.sleep(1.0)
        async with trio.open_nursery() as nursery:
            for failure in failures:
                nursery.start_soon(self._inject_failure, failure)
        await trio.sleep(1.0)
        await self.env.clear_failures()

    async def _inject_failure(self, failure: _PlannedFailure) -> None:
        await trio.sleep(failure.delay_s)
        await FAILURES[failure.name](self, random.Random(failure.seed))

    async def kill_entry(self, rng: random.Random) -> None:
        """Kill and restart an entry."""
        entry = rng.choice(self.env.system.entries)
        await self.env.kill_and_restart(entry.name, 4.0)

    async def kill_agent(self, rng: random.Random) -> None:
        """Kill and restart an agent."""
        host = rng.choice(self.env.system.hosts)
        await self.env.kill_and_restart(host.agent, 2.0)

    async def fail_host(self, rng: random.Random) -> None:
        """Kill and restart the worker and the agent of a host."""
        host = rng.choice(self.env.system.hosts)
        self.env.kill(host.agent)
        self.env.kill(host.worker)
        await trio.sleep(3.0)
        self.env.restart_killed(host.worker)
        self.env.restart_killed(host.agent)

    async def pause_entry(self, rng: random.Random) -> None:
        """Suspend an entry until its leases expire."""
        entry = rng.choice(self.env.system.entries)
        await self.env.freeze(entry.name, 7.0)

    async def pause_agent(self, rng: random.Random) -> None:
        """Suspend an agent, so that it is temporarily unreachable."""
        host = rng.choice(self.env.system.hosts)
        await self.env.freeze(host.agent, 5.0)

    async def fail_store(self, _rng: random.Random) -> None:
        """Make the store unavailable."""
        await self.env.outage(6.0)

    async def slow_store(self, _rng: random.Random) -> None:
        """Delay the calls of the store."""
        await self.env.set_store_faults(delay_s=0.3)
        await trio.sleep(5.0)
        await self.env.set_store_faults(delay_s=0.0)

    async def lose_store_responses(self, _rng: random.Random) -> None:
        """Lose responses of the store after the write took effect."""
        await self.env.set_store_faults(lose_every=3)
        await trio.sleep(5.0)
        await self.env.set_store_faults(lose_every=0)

    async def noisy_wave(self, rng: random.Random) -> None:
        """Submit a wave of short tasks and cancel the rest in bulk."""
        job = f'pp-wave-{rng.randrange(10**9)}'
        await self.env.start_job(job, 100, 1.0, memory_mb=100)
        await trio.sleep(1.5)
        await self.env.operator.send(f'cancel tasks where job = {job}')

    async def impossible_job(self, rng: random.Random) -> None:
        """Submit a job that exceeds the capacity of every host."""
        job = f'pp-huge-{rng.randrange(10**9)}'
        await self.env.start_job(job, 3, 1.0, memory_mb=900_000)

    async def failing_worker(self, rng: random.Random) -> None:
        """Make a worker fail every task that it starts."""
        host = rng.choice(self.env.system.hosts)
        url = f'{host.worker_url}/admin/switches'
        await self._switch(url, True)
        await trio.sleep(4.0)
        await self._switch(url, False)

    async def _switch(self, url: str, failing: bool) -> None:
        try:
            await self.env.client.post(url, json={'fail_everything': failing})
        except httpx.HTTPError:
            await trio.sleep(0.0)  # the worker is down as well

    async def racing_operators(self, rng: random.Random) -> None:
        """Send two conflicting changes based on one settings version."""
        reply = await self.env.operator.send('show settings limit 1', 5.0)
        version = reply.settings_version
        won: list[bool] = []

        async def change(target: int) -> None:
            sent = await self.env.operator.send(
                f'change service {_env.SERVICE} latency target'
                f' {rng.randrange(40, 90)}.{target}ms'
                f' if version {version}',
                8.0,
                url=self.env.system.entries[target].operators_url,
            )
            won.append(sent.done)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(change, 0)
            nursery.start_soon(change, 1)
        self.raced += sum(won) > 1

    # Verdict

    async def figures(self) -> _records.Figures:
        """Wait until the work has ended and check the records."""
        env = self.env
        began = time.monotonic()
        done = await env.wait_until_finished(self.expected, FINISH_TIMEOUT_S)
        took_s = time.monotonic() - began
        await trio.sleep(_env.HISTORY_FLUSH_S)
        runs = env.runs('pp-')
        backend = await env.backend_runs('pp-')
        lost, doubled = _history.count_lost_and_duplicated(runs, self.expected)
        _, twice = _history.count_wrong_resumes(runs)
        violations = _Violations(
            _history.measure_peak_usage(
                env.runs(), env.declared_resources, env.capacity
            ).overfull,
            _history.count_concurrent_task_runs(runs)
            + _history.count_concurrent_key_runs(backend, self.locks),
            doubled,
            lost,
            twice,
            sum(_history.count_wrong_responses(self.calls)),
            len(_history.false_not_run(_timed_requests(self.calls), backend)),
            len(_history.keys_run_twice(backend, self.orders)),
            self.raced,
        )
        total = sum(dataclasses.asdict(violations).values())
        return _records.Figures(
            len(runs) + len(self.calls),
            total,
            f'{total} of any kind',
            proved=done and bool(self.expected),
            notes=(
                *(
                    'drawn: ' + ' + '.join(one.name for one in failures)
                    for failures in self.rounds
                ),
                str(violations),
                f'{sum(self.expected.values())} tasks finished'
                f' {took_s:.0f} s after; {_env.summarize(self.calls)}',
            ),
        )


def _timed_requests(calls: list[_records.Call]) -> list[_records.Call]:
    """Return the calls whose key was sent only once."""
    return [call for call in calls if call.key.startswith('pp-ask')]


FAILURES: dict[str, FailureFunction] = {
    'entry dies': _Overlap.kill_entry,
    'agent dies': _Overlap.kill_agent,
    'host fails': _Overlap.fail_host,
    'entry paused': _Overlap.pause_entry,
    'agent paused': _Overlap.pause_agent,
    'store down': _Overlap.fail_store,
    'store slow': _Overlap.slow_store,
    'answers lost': _Overlap.lose_store_responses,
    'noisy wave and cancellations': _Overlap.noisy_wave,
    'impossible job': _Overlap.impossible_job,
    'failing worker': _Overlap.failing_worker,
    'racing operators': _Overlap.racing_operators,
}
