"""Random selection and injection of faults."""

import collections.abc
import functools
import random
import signal

import trio

from soak import _deployment
from soak import _proxy

MAX_FAULT_INTERVAL_S = 1.6  # between the starts of two faults
MAX_FAULT_DURATION_S = 4.0

FaultFunction = collections.abc.Callable[
    ['FaultInjector'], collections.abc.Awaitable[None]
]


class FaultInjector:
    """Injects random faults at random intervals; they may overlap.

    :param system: deployment under test.
    :param rng: random number generator.
    """

    def __init__(
        self, system: _deployment.Deployment, rng: random.Random
    ) -> None:
        self.system = system
        self.rng = rng
        self.injected: list[str] = []  # descriptions, for the report

    async def run(self, seconds: float) -> None:
        """Inject faults for ``seconds``, then clear them all."""
        deadline = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < deadline:
                await trio.sleep(self.rng.uniform(0.1, MAX_FAULT_INTERVAL_S))
                fault = self.rng.choice(FAULTS)
                nursery.start_soon(fault, self)
        self.clear_faults()

    def clear_faults(self) -> None:
        """Clear every fault that may still be active."""
        system = self.system
        system.store_faults.status = 0
        system.store_faults.lose_answers = 0
        for proxy in (
            *system.store_proxies.values(),
            *system.worker_proxies.values(),
        ):
            proxy.set_mode(_proxy.Mode.OPEN)
        for node in system.nodes:
            node.send(signal.SIGCONT)
            if not node.running:
                system.start_process(node)

    def pick_node(self, *roles: str) -> _deployment.Node:
        """Return a random node with one of the roles."""
        found = [n for n in self.system.nodes if n.role in roles]
        return self.rng.choice(found)

    async def hold_fault(self, description: str) -> None:
        """Record a fault and wait for a random duration."""
        seconds = self.rng.uniform(0.2, MAX_FAULT_DURATION_S)
        self.injected.append(f'{description} {seconds:.1f} s')
        await trio.sleep(seconds)


async def _restart_node(faults: FaultInjector, number: signal.Signals) -> None:
    node = faults.pick_node('entry', 'agent')
    faults.injected.append(f'{number.name} {node.name}')
    await faults.system.restart(node, number)


async def _pause_node(faults: FaultInjector) -> None:
    node = faults.pick_node('entry', 'agent')
    node.send(signal.SIGSTOP)
    await faults.hold_fault(f'pause {node.name}')
    node.send(signal.SIGCONT)


async def _send_sighup(faults: FaultInjector) -> None:
    node = faults.pick_node('entry', 'agent')
    faults.injected.append(f'SIGHUP {node.name}')
    node.send(signal.SIGHUP)


async def _disturb_store_path(
    faults: FaultInjector, mode: _proxy.Mode
) -> None:
    node = faults.pick_node('entry', 'agent')
    proxy = faults.system.store_proxies[node.name]
    proxy.set_mode(mode, faults.rng.uniform(0.05, 0.6))
    await faults.hold_fault(f'store {mode.value} for {node.name}')
    proxy.set_mode(_proxy.Mode.OPEN)
    proxy.reset()


async def _disturb_worker_path(
    faults: FaultInjector, mode: _proxy.Mode
) -> None:
    node = faults.pick_node('agent')
    proxy = faults.system.worker_proxies[node.name]
    proxy.set_mode(mode, faults.rng.uniform(0.05, 0.6))
    await faults.hold_fault(f'worker {mode.value} for {node.name}')
    proxy.set_mode(_proxy.Mode.OPEN)
    proxy.reset()


async def _reset_connections(faults: FaultInjector) -> None:
    node = faults.pick_node('entry', 'agent')
    faults.injected.append(f'reset {node.name}')
    faults.system.store_proxies[node.name].reset()
    if node.role == 'agent':
        faults.system.worker_proxies[node.name].reset()


async def _fail_store(faults: FaultInjector) -> None:
    faults.system.store_faults.status = 503
    await faults.hold_fault('store down')
    faults.system.store_faults.status = 0


async def _lose_store_responses(faults: FaultInjector) -> None:
    faults.injected.append('responses of the store lost')
    faults.system.store_faults.lose_answers = 3


async def _expire_leases(faults: FaultInjector) -> None:
    faults.injected.append('leases expired')
    faults.system.store.lapse_leases()


async def _restart_worker(faults: FaultInjector) -> None:
    worker = faults.rng.choice(faults.system.workers)
    faults.injected.append(f'worker restart {worker.worker_id}')
    worker.simulate_restart()


FAULTS: tuple[FaultFunction, ...] = (
    functools.partial(_restart_node, number=signal.SIGKILL),
    functools.partial(_restart_node, number=signal.SIGTERM),
    _pause_node,
    _send_sighup,
    *(
        functools.partial(_disturb_store_path, mode=mode)
        for mode in _proxy.Mode
    ),
    *(
        functools.partial(_disturb_worker_path, mode=mode)
        for mode in _proxy.Mode
    ),
    _reset_connections,
    _fail_store,
    _lose_store_responses,
    _expire_leases,
    _restart_worker,
)
