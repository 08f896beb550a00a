"""Entries and agents as processes, with stand-ins of the platform."""

import contextlib
import os
import pathlib
import random
import signal
import subprocess
import sys
import typing

import httpx
import msgspec
import trio
import yaml

from citronrail import adapters
from citronrail import ports
from soak import _proxy
from standins import key_value
from standins import platform as platform_standin
from standins import task_worker

STORE_PORT = 8169
STORE_PROXY_PORT = 8170
WORKER_PORT = 8265
WORKER_PROXY_PORT = 8165
CALLERS_PORT = 7000
READY_PORT = 7001
CONTROL_PORT = 7002
PEER_PORTS = (7720, 7735)
ANNOUNCE_S = 0.5
HOST_NAME = 'soak.example'
PREFIX = '/jobs/'
SERVICE = 'pool'
CONFIG_KEY = 'op/config'
GRACE_S = 6.0
MAX_LEASE_MS = 6000
ENTRY_COUNT = 3
WORKER_COUNT = 4
CONFIG = {
    'version': 1,
    'routes': [
        {
            'name': 'jobs',
            'host': HOST_NAME,
            'prefix': PREFIX,
            'service': SERVICE,
            'maxAttempts': 50,
        }
    ],
    'services': [{'name': SERVICE}],
}


class Machine:
    """One process of ours, its addresses and its path to the store."""

    def __init__(self, name: str, role: str, ip: str) -> None:
        self.name = name
        self.role = role
        self.ip = ip
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def running(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    def send(self, number: int) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.running:
            self.process.send_signal(number)


class Deployment:
    """All processes and stand-ins of one run.

    :param folder: folder for settings and logs.
    :param rng: source of chance.
    :param plan_of: behaviour of a task by its name.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        rng: random.Random,
        plan_of: typing.Callable[[str], task_worker.TaskPlan],
    ) -> None:
        self.folder = folder
        # A network of its own, so that runs side by side share no port.
        self._network = f'127.{1 + os.getpid() % 200}.{rng.randrange(250)}'
        self.store = key_value.MemoryStore()
        self.store_faults = platform_standin.StoreFaults()
        self.history = task_worker.RunHistory()
        self.entries = [
            Machine(f'entry-{n}', 'entry', self._ip(10 + n))
            for n in range(ENTRY_COUNT)
        ]
        self.agents = [
            Machine(f'agent-{n}', 'agent', self._ip(100 + n))
            for n in range(WORKER_COUNT)
        ]
        self.workers = [
            task_worker.MemoryTaskWorker(f'w{n}', self.history, plan_of, rng)
            for n in range(WORKER_COUNT)
        ]
        self.store_paths = {
            machine.name: _proxy.Proxy(
                (machine.ip, STORE_PROXY_PORT), (self._ip(1), STORE_PORT)
            )
            for machine in self.machines
        }
        self.worker_paths = {
            machine.name: _proxy.Proxy(
                (machine.ip, WORKER_PROXY_PORT), (machine.ip, WORKER_PORT)
            )
            for machine in self.agents
        }

    def _ip(self, number: int) -> str:
        return f'{self._network}.{number}'

    @property
    def machines(self) -> list[Machine]:
        """All entries and agents."""
        return self.entries + self.agents

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the stand-ins, then the processes."""
        config = msgspec.json.encode(CONFIG)
        await self.store.txn([], [ports.Put(CONFIG_KEY, config)])
        app = platform_standin.store_app(self.store, self.store_faults)
        await nursery.start(self._serve, app, self._ip(1), STORE_PORT)
        for proxy in (*self.store_paths.values(), *self.worker_paths.values()):
            await nursery.start(proxy.run)
        for machine, worker in zip(self.agents, self.workers):
            await nursery.start(worker.run)
            worker_app = platform_standin.worker_app(worker)
            await nursery.start(
                self._serve, worker_app, machine.ip, WORKER_PORT
            )
            nursery.start_soon(self._announce, machine, worker)
        for machine in self.machines:
            self.launch(machine)

    async def _serve(
        self,
        app: adapters.AsgiApp,
        ip: str,
        port: int,
        *,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        await adapters.serve(
            app,
            ip,
            port,
            name='stand-in',
            shutdown=trio.Event(),
            drain_s=0.1,
            task_status=task_status,
        )

    async def _announce(
        self, machine: Machine, worker: task_worker.MemoryTaskWorker
    ) -> None:
        url = f'http://{machine.ip}:{CONTROL_PORT}/Instances.Heartbeat/'
        async with httpx.AsyncClient(trust_env=False, timeout=1.0) as client:
            number = 0
            while True:
                number += 1
                life = worker.life()
                body = {
                    'service': SERVICE,
                    'zone': 'dc',
                    'state': life.state,
                    'seq': number,
                    'capacity': {
                        'cpu': life.cpu_millis,
                        'memMb': life.memory_mb,
                    },
                    'born': life.born_ms,
                }
                # The agent may be down or paused; the next one tells it.
                with contextlib.suppress(httpx.HTTPError):
                    await client.post(url + life.worker_id, json=body)
                await trio.sleep(ANNOUNCE_S)

    # Processes

    def launch(self, machine: Machine) -> None:
        """Start a machine's process."""
        path = self.folder / f'{machine.name}.yaml'
        path.write_text(yaml.safe_dump(self._settings(machine)))
        argv = [sys.executable, '-m', 'citronrail.platform', machine.role]
        with (self.folder / f'{machine.name}.log').open('ab') as log:
            machine.process = subprocess.Popen(
                [*argv, '--config', str(path)],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def _settings(self, machine: Machine) -> dict[str, typing.Any]:
        is_entry = machine.role == 'entry'
        both = {"front": CALLERS_PORT, "ready": READY_PORT}
        listen = both if is_entry else {'control': CONTROL_PORT}
        raw: dict[str, typing.Any] = {
            'node': machine.name,
            'class': 'front' if is_entry else 'side',
            'zone': 'dc',
            'ip': machine.ip,
            'listen': {k: f'{machine.ip}:{v}' for k, v in listen.items()},
            'internalPortRange': list(PEER_PORTS),
            'platform': {'addr': f'{machine.ip}:{STORE_PROXY_PORT}'},
            'bounds': {'maxHoldMs': MAX_LEASE_MS, 'graceS': GRACE_S},
        }
        if not is_entry:
            raw['app'] = f'{machine.ip}:{WORKER_PROXY_PORT}'
            raw['service'] = SERVICE
        return raw

    async def restart(self, machine: Machine, number: int) -> None:
        """End a process by a signal and start it again once it has ended."""
        machine.send(signal.SIGCONT)
        machine.send(number)
        deadline = trio.current_time() + GRACE_S
        while machine.running:
            if trio.current_time() > deadline:
                machine.send(signal.SIGKILL)
            await trio.sleep(0.05)
        self.launch(machine)

    def close(self) -> None:
        """End all processes."""
        for machine in self.machines:
            machine.send(signal.SIGCONT)
            machine.send(signal.SIGKILL)
        for machine in self.machines:
            if machine.process is not None:
                machine.process.wait()
