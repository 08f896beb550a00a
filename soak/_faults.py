"""Draws faults and brings them about."""

import collections.abc
import functools
import random
import signal

import trio

from soak import _deployment
from soak import _proxy

LONGEST_PAUSE_S = 1.6  # between the begins of two faults
LONGEST_FAULT_S = 4.0

Fault = collections.abc.Callable[['Faults'], collections.abc.Awaitable[None]]


class Faults:
    """Brings about one fault after another; they overlap.

    :param system: the deployment.
    :param rng: source of chance.
    """

    def __init__(
        self, system: _deployment.Deployment, rng: random.Random
    ) -> None:
        self.system = system
        self.rng = rng
        self.told: list[str] = []  # what was brought about, for the report

    async def run(self, seconds: float) -> None:
        """Bring about faults for some time, then end them all."""
        deadline = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < deadline:
                await trio.sleep(self.rng.uniform(0.1, LONGEST_PAUSE_S))
                fault = self.rng.choice(FAULTS)
                nursery.start_soon(fault, self)
        self.heal()

    def heal(self) -> None:
        """End every fault that may last."""
        system = self.system
        system.store_faults.status = 0
        system.store_faults.lose_answers = 0
        for proxy in (
            *system.store_paths.values(),
            *system.worker_paths.values(),
        ):
            proxy.set_path(_proxy.Path.OPEN)
        for machine in system.machines:
            machine.send(signal.SIGCONT)
            if not machine.running:
                system.launch(machine)

    def some(self, *roles: str) -> _deployment.Machine:
        """Draw a machine of one of the roles."""
        found = [m for m in self.system.machines if m.role in roles]
        return self.rng.choice(found)

    async def last(self, what: str) -> None:
        """Note a fault and let it last."""
        seconds = self.rng.uniform(0.2, LONGEST_FAULT_S)
        self.told.append(f'{what} {seconds:.1f} s')
        await trio.sleep(seconds)


async def _restart(faults: Faults, number: signal.Signals) -> None:
    machine = faults.some('entry', 'agent')
    faults.told.append(f'{number.name} {machine.name}')
    await faults.system.restart(machine, number)


async def _pause(faults: Faults) -> None:
    machine = faults.some('entry', 'agent')
    machine.send(signal.SIGSTOP)
    await faults.last(f'pause {machine.name}')
    machine.send(signal.SIGCONT)


async def _hang_up(faults: Faults) -> None:
    machine = faults.some('entry', 'agent')
    faults.told.append(f'SIGHUP {machine.name}')
    machine.send(signal.SIGHUP)


async def _store_path(faults: Faults, path: _proxy.Path) -> None:
    machine = faults.some('entry', 'agent')
    proxy = faults.system.store_paths[machine.name]
    proxy.set_path(path, faults.rng.uniform(0.05, 0.6))
    await faults.last(f'store {path.value} for {machine.name}')
    proxy.set_path(_proxy.Path.OPEN)
    proxy.reset()


async def _worker_path(faults: Faults, path: _proxy.Path) -> None:
    machine = faults.some('agent')
    proxy = faults.system.worker_paths[machine.name]
    proxy.set_path(path, faults.rng.uniform(0.05, 0.6))
    await faults.last(f'worker {path.value} for {machine.name}')
    proxy.set_path(_proxy.Path.OPEN)
    proxy.reset()


async def _reset(faults: Faults) -> None:
    machine = faults.some('entry', 'agent')
    faults.told.append(f'reset {machine.name}')
    faults.system.store_paths[machine.name].reset()
    if machine.role == 'agent':
        faults.system.worker_paths[machine.name].reset()


async def _outage(faults: Faults) -> None:
    faults.system.store_faults.status = 503
    await faults.last('store down')
    faults.system.store_faults.status = 0


async def _lost_answers(faults: Faults) -> None:
    faults.told.append('answers of the store lost')
    faults.system.store_faults.lose_answers = 3


async def _lapse(faults: Faults) -> None:
    faults.told.append('leases lapsed')
    faults.system.store.lapse_leases()


async def _new_life(faults: Faults) -> None:
    worker = faults.rng.choice(faults.system.workers)
    faults.told.append(f'new life of {worker.worker_id}')
    worker.reborn()


FAULTS: tuple[Fault, ...] = (
    functools.partial(_restart, number=signal.SIGKILL),
    functools.partial(_restart, number=signal.SIGTERM),
    _pause,
    _hang_up,
    *(functools.partial(_store_path, path=path) for path in _proxy.Path),
    *(functools.partial(_worker_path, path=path) for path in _proxy.Path),
    _reset,
    _outage,
    _lost_answers,
    _lapse,
    _new_life,
)
