"""Entries and agents as processes, with stand-ins for the platform."""

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
ANNOUNCE_INTERVAL_S = 0.5
HOST_NAME = 'soak.example'
JOBS_PATH_PREFIX = '/jobs/'
SERVICE = 'pool'
CONFIG_KEY = 'op/config'
SHUTDOWN_GRACE_S = 6.0
LOAD_SETTINGS = pathlib.Path(__file__).parents[1] / 'deploy' / 'load.json'
MAX_LEASE_MS = 6000
ENTRY_COUNT = 3
WORKER_COUNT = 4
ROUTES = [
    {
        'name': 'jobs',
        'host': HOST_NAME,
        'prefix': JOBS_PATH_PREFIX,
        'service': SERVICE,
        'maxAttempts': 50,
    }
]
CONFIG = {'version': 1, 'routes': ROUTES, 'services': [{'name': SERVICE}]}


class Node:
    """An entry or agent process and its IP address."""

    def __init__(self, name: str, role: str, ip: str) -> None:
        self.name = name
        self.role = role
        self.ip = ip
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def running(self) -> bool:
        """Whether the process is running."""
        return self.process is not None and self.process.poll() is None

    def send(self, signum: int) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.running:
            self.process.send_signal(signum)


class Deployment:
    """All processes and stand-ins of one soak run.

    :param directory: directory for settings and logs.
    :param rng: random number generator.
    :param make_plan: returns the behaviour of a task, given its name.
    :param hard_load: turn the parts for hard load on.
    """

    def __init__(
        self,
        directory: pathlib.Path,
        rng: random.Random,
        make_plan: typing.Callable[[str], task_worker.TaskPlan],
        *,
        hard_load: bool = False,
    ) -> None:
        self.directory = directory
        self._hard_load = hard_load
        self.make_plan = make_plan
        # A separate loopback subnet keeps concurrent runs from sharing ports.
        self._subnet = f'127.{1 + os.getpid() % 200}.{rng.randrange(250)}'
        self.store = key_value.MemoryStore()
        self.store_faults = platform_standin.StoreFaults()
        self.history = task_worker.RunHistory()
        self.entries = [
            Node(f'entry-{n}', 'entry', self._ip(10 + n))
            for n in range(ENTRY_COUNT)
        ]
        self.agents = [
            Node(f'agent-{n}', 'agent', self._ip(100 + n))
            for n in range(WORKER_COUNT)
        ]
        self.workers = [
            task_worker.MemoryTaskWorker(f'w{n}', self.history, make_plan, rng)
            for n in range(WORKER_COUNT)
        ]
        self.store_proxies = {
            node.name: _proxy.Proxy(
                (node.ip, STORE_PROXY_PORT), (self._ip(1), STORE_PORT)
            )
            for node in self.nodes
        }
        self.worker_proxies = {
            node.name: _proxy.Proxy(
                (node.ip, WORKER_PROXY_PORT), (node.ip, WORKER_PORT)
            )
            for node in self.agents
        }

    def _ip(self, host_number: int) -> str:
        return f'{self._subnet}.{host_number}'

    @property
    def nodes(self) -> list[Node]:
        """All entries and agents."""
        return self.entries + self.agents

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the stand-ins, then the entry and agent processes."""
        config = msgspec.json.encode(CONFIG)
        await self.store.txn([], [ports.Put(CONFIG_KEY, config)])
        app = platform_standin.store_app(self.store, self.store_faults)
        await nursery.start(self._serve, app, self._ip(1), STORE_PORT)
        for proxy in (
            *self.store_proxies.values(),
            *self.worker_proxies.values(),
        ):
            await nursery.start(proxy.run)
        for node, worker in zip(self.agents, self.workers):
            await nursery.start(worker.run)
            worker_app = platform_standin.worker_app(worker)
            await nursery.start(self._serve, worker_app, node.ip, WORKER_PORT)
            nursery.start_soon(self._announce, node, worker)
        for node in self.nodes:
            self.start_process(node)

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
        self, node: Node, worker: task_worker.MemoryTaskWorker
    ) -> None:
        url = f'http://{node.ip}:{CONTROL_PORT}/Instances.Heartbeat/'
        async with httpx.AsyncClient(trust_env=False, timeout=1.0) as client:
            sequence = 0
            while True:
                if worker.faults.down:
                    await trio.sleep(ANNOUNCE_INTERVAL_S)
                    continue
                sequence += 1
                announced = worker.life()
                address = f'{node.ip}:{WORKER_PROXY_PORT}'
                body = platform_standin.heartbeat(announced, address, sequence)
                # The agent may be down or paused; the next one may reach it.
                with contextlib.suppress(httpx.HTTPError):
                    await client.post(url + announced.worker_id, json=body)
                await trio.sleep(ANNOUNCE_INTERVAL_S)

    # Processes

    def start_process(self, node: Node) -> None:
        """Start the process of a node."""
        path = self.directory / f'{node.name}.yaml'
        path.write_text(yaml.safe_dump(self._settings(node)))
        argv = [sys.executable, '-m', 'citronrail.platform', node.role]
        with (self.directory / f'{node.name}.log').open('ab') as log:
            node.process = subprocess.Popen(
                [*argv, '--config', str(path)],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env=self._environment(),
            )

    def _environment(self) -> dict[str, str]:
        if not self._hard_load:
            return dict(os.environ)
        return {**os.environ, 'CITRONRAIL_LOAD_SETTINGS': str(LOAD_SETTINGS)}

    def _settings(self, node: Node) -> dict[str, typing.Any]:
        is_entry = node.role == 'entry'
        entry_ports = {"front": CALLERS_PORT, "ready": READY_PORT}
        listen = entry_ports if is_entry else {'control': CONTROL_PORT}
        settings: dict[str, typing.Any] = {
            'node': node.name,
            'class': 'front' if is_entry else 'side',
            'zone': 'dc',
            'ip': node.ip,
            'listen': {k: f'{node.ip}:{v}' for k, v in listen.items()},
            'internalPortRange': list(PEER_PORTS),
            'platform': {
                'addr': f'{node.ip}:{STORE_PROXY_PORT}',
                'writesPerS': 2000 if self._hard_load else 0,
            },
            'bounds': {
                'maxHoldMs': MAX_LEASE_MS,
                'graceS': SHUTDOWN_GRACE_S,
            },
        }
        if not is_entry:
            settings['app'] = f'{node.ip}:{WORKER_PROXY_PORT}'
            settings['service'] = SERVICE
        return settings

    async def restart(self, node: Node, signum: int) -> None:
        """Signal a process to stop and start it again once it has exited.

        It is killed if it is still running after the grace period.
        """
        node.send(signal.SIGCONT)
        node.send(signum)
        deadline = trio.current_time() + SHUTDOWN_GRACE_S
        while node.running:
            if trio.current_time() > deadline:
                node.send(signal.SIGKILL)
            await trio.sleep(0.05)
        self.start_process(node)

    def close(self) -> None:
        """Kill all processes and wait for them to exit."""
        for node in self.nodes:
            node.send(signal.SIGCONT)
            node.send(signal.SIGKILL)
        for node in self.nodes:
            if node.process is not None:
                node.process.wait()
