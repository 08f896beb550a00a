"""Planned stops, reloads and configurations while callers send requests."""

import collections.abc
import contextlib
import dataclasses
import pathlib
import random
import signal
import subprocess
import sys
import typing

import msgspec
import trio

from citronrail import ports
from soak import _deployment
from soak import _proxy
from soak import _stop_callers
from standins import task_worker

START_TIMEOUT_S = 40.0
CALLERS_PER_KIND = 4
# An entry that is short of processor time runs for this share of each period.
STARVED_SHARE = 0.15
STARVED_PERIOD_S = 0.1
BUSY_PROCESSES = 2
STORES = ('calm', 'slow', 'hangs', 'refuses')
Plan = collections.abc.Callable[
    ['_Run', _deployment.Node], collections.abc.Awaitable[None]
]


@dataclasses.dataclass(frozen=True)
class Result:
    """The outcome of one run."""

    seed: int
    conditions: str
    steps: tuple[str, ...]
    statuses: dict[int, int]
    raced: int
    late: int
    lost: tuple[str, ...]
    killed: tuple[str, ...]  # still running after the grace period
    ended: tuple[str, ...]  # ended without being told to

    @property
    def passed(self) -> bool:
        """Whether every request was answered and every stop was in time."""
        return not (self.lost or self.killed or self.ended)


class _Run:
    """One run; its choices come from the seed."""

    def __init__(
        self,
        seed: int,
        directory: pathlib.Path,
        store: str,
        starved: bool,
        hard_load: bool,
    ) -> None:
        self.rng = random.Random(seed)
        self.system = _deployment.Deployment(
            directory,
            random.Random(f'{seed} system'),
            lambda _: task_worker.TaskPlan(work_s=0.1),
            hard_load=hard_load,
        )
        self.store = store
        self.starved = starved
        self.steps: list[str] = []
        self.killed: list[str] = []
        self.ended: list[str] = []
        self.version = 1
        self._stopping: set[str] = set()

    def record(self, text: str) -> None:
        """Record a step with its time."""
        self.steps.append(f'{trio.current_time():.2f} {text}')

    async def stop(self, node: _deployment.Node) -> None:
        """Stop an entry as the platform does, and start it again."""
        self.record(f'SIGTERM {node.name}')
        self._stopping.add(node.name)
        node.send(signal.SIGTERM)
        deadline = trio.current_time() + _deployment.SHUTDOWN_GRACE_S
        while node.running:
            if trio.current_time() > deadline:
                self.record(f'SIGKILL {node.name}')
                self.killed.append(node.name)
                node.send(signal.SIGKILL)
                break
            await trio.sleep(0.02)
        while node.running:
            await trio.sleep(0.02)
        self.record(f'{node.name} ended')
        self.system.start_process(node)
        self._stopping.discard(node.name)

    async def watch(self) -> None:
        """Record processes that end by themselves."""
        while True:
            for node in self.system.nodes:
                if not node.running and node.name not in self._stopping:
                    self.record(f'{node.name} ended by itself')
                    self.ended.append(node.name)
                    self.system.start_process(node)
            await trio.sleep(0.05)

    async def starve(self, node: _deployment.Node) -> None:
        """Let an entry run for a share of the time only."""
        while True:
            node.send(signal.SIGCONT)
            await trio.sleep(STARVED_PERIOD_S * STARVED_SHARE)
            node.send(signal.SIGSTOP)
            await trio.sleep(STARVED_PERIOD_S * (1 - STARVED_SHARE))

    async def configure(self) -> None:
        """Write a new configuration with another route."""
        self.version += self.rng.randint(1, 3)
        self.record(f'configuration {self.version}')
        routes: list[dict[str, typing.Any]] = [*_deployment.ROUTES]
        extra = {**routes[0], 'name': f'r{self.version}', 'prefix': '/other/'}
        if self.rng.random() < 0.5:
            routes.append(extra)
        config = {
            **_deployment.CONFIG,
            'version': self.version,
            'routes': routes,
        }
        await self.system.store.txn(
            [],
            [ports.Put(_deployment.CONFIG_KEY, msgspec.json.encode(config))],
        )

    def disturb_store(self, on: bool) -> None:
        """Turn the trouble of the store on or off."""
        self.system.store_faults.status = (
            503 if on and self.store == 'refuses' else 0
        )
        modes = {'slow': _proxy.Mode.DELAYED, 'hangs': _proxy.Mode.STALLED}
        mode = modes.get(self.store, _proxy.Mode.OPEN)
        for proxy in self.system.store_proxies.values():
            proxy.set_mode(mode if on else _proxy.Mode.OPEN, 0.3)


async def _one(run: _Run, node: _deployment.Node) -> None:
    await run.stop(node)


async def _reload_first(run: _Run, node: _deployment.Node) -> None:
    for _ in range(run.rng.randint(1, 4)):
        run.record(f'SIGHUP {node.name}')
        node.send(signal.SIGHUP)
        await trio.sleep(run.rng.uniform(0.0, 0.2))
    await run.stop(node)


async def _signal_within(
    run: _Run, node: _deployment.Node, number: signal.Signals, limit_s: float
) -> None:
    """Send a signal during the drain, but not to the next process."""
    process = node.process
    async with trio.open_nursery() as nursery:
        nursery.start_soon(run.stop, node)
        await trio.sleep(run.rng.uniform(0.1, limit_s))
        if node.process is process and node.running:
            run.record(f'{number.name} {node.name} during its drain')
            node.send(number)


async def _reload_within(run: _Run, node: _deployment.Node) -> None:
    await _signal_within(run, node, signal.SIGHUP, 3.0)


async def _stop_twice(run: _Run, node: _deployment.Node) -> None:
    await _signal_within(run, node, signal.SIGTERM, 2.5)


async def _configure_within(run: _Run, node: _deployment.Node) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(run.stop, node)
        for _ in range(3):
            await trio.sleep(run.rng.uniform(0.0, 1.0))
            await run.configure()


async def _in_turn(run: _Run, node: _deployment.Node) -> None:
    del node
    async with trio.open_nursery() as nursery:
        for other in run.system.entries:
            nursery.start_soon(run.stop, other)
            await trio.sleep(1.0)


PLANS: tuple[Plan, ...] = (
    _one,
    _reload_first,
    _reload_within,
    _stop_twice,
    _configure_within,
    _in_turn,
)


async def run(
    seed: int,
    directory: pathlib.Path,
    *,
    rounds: int = 3,
    store: str | None = None,
    starved: bool | None = None,
) -> Result:
    """Run a deployment through planned work and count what is lost.

    :param seed: seed of all random choices; timing still varies.
    :param directory: empty directory for settings and logs.
    :param rounds: pieces of planned work.
    :param store: one of ``STORES``, chosen by the seed if None.
    :param starved: whether entries are short of processor time, chosen by
        the seed if None.
    """
    draw = random.Random(f'{seed} conditions')
    drawn_store, drawn = draw.choice(STORES), draw.random() < 0.3
    hard_load = draw.random() < 0.5
    found = _Run(
        seed,
        directory,
        drawn_store if store is None else store,
        drawn if starved is None else starved,
        hard_load,
    )
    tally = _stop_callers.Tally()
    conditions = (
        f'store {found.store}, '
        f'{"starved" if found.starved else "enough time"}, '
        f'{"hard load" if hard_load else "plain"}'
    )
    with _busy_processes(BUSY_PROCESSES if found.starved else 0):
        try:
            await _play(found, tally, seed, rounds)
        finally:
            found.system.close()
    return Result(
        seed,
        conditions,
        tuple(found.steps),
        dict(tally.statuses),
        tally.raced,
        tally.late,
        tuple(map(str, tally.lost)),
        tuple(found.killed),
        tuple(found.ended),
    )


async def _play(
    run: _Run, tally: _stop_callers.Tally, seed: int, rounds: int
) -> None:
    balancer = _stop_callers.Balancer(run.system, run.rng)
    stop = trio.Event()
    async with trio.open_nursery() as nursery:
        await run.system.start(nursery)
        nursery.start_soon(balancer.run)
        async with trio.open_nursery() as callers:
            for number in range(CALLERS_PER_KIND):
                for kind in _stop_callers.KINDS:
                    caller = _stop_callers.Caller(
                        run.system,
                        balancer,
                        tally,
                        kind,
                        random.Random(f'{seed} {kind} {number}'),
                    )
                    callers.start_soon(caller.run, stop)
            with trio.fail_after(START_TIMEOUT_S):
                while not tally.statuses[200]:
                    await trio.sleep(0.1)
            nursery.start_soon(run.watch)
            if run.starved:
                for node in run.system.entries:
                    nursery.start_soon(run.starve, node)
            for _ in range(rounds):
                await _round(run)
            stop.set()
        nursery.cancel_scope.cancel()


async def _round(run: _Run) -> None:
    plan = run.rng.choice(PLANS)
    run.record(plan.__name__)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(plan, run, run.rng.choice(run.system.entries))
        await trio.sleep(run.rng.uniform(0.0, 2.6))
        run.disturb_store(True)
        await trio.sleep(run.rng.uniform(0.5, 3.0))
        run.disturb_store(False)
    await trio.sleep(run.rng.uniform(1.0, 3.0))


@contextlib.contextmanager
def _busy_processes(count: int) -> collections.abc.Iterator[None]:
    busy = [
        subprocess.Popen([sys.executable, '-c', 'while True: pass'])
        for _ in range(count)
    ]
    try:
        yield
    finally:
        for process in busy:
            process.kill()
            process.wait()
