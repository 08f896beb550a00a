"""A small deployment: entries and agents as processes, stand-ins beside."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

import http1
import store as store_standin
import worker as worker_standin

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
FRONT_PORT, READY_PORT, CONTROL_PORT = 8161, 8167, 8166
STORE_PORT, WORKER_PORT = 8169, 8201
PEER_PORTS = (7720, 7735)
METRICS_PORT = 9464
BOUNDS = {
    'seedLagS': 3,
    'addrReuseS': 2,
    'contactMs': 3000,
    'ackMs': 4000,
    'catchUpS': 4,
    'drainMs': 2000,
    'graceS': 6,
    'lossSlackMs': 200,
    'configApplyMs': 2000,
    'rollbackSlackMs': 250,
    'maxStretchMs': 5000,
    'coldOverage': 1.5,
    'coldSlack': 5,
    'evacuateMs': 5000,
    'recoveryS': 12,
    'maxHoldMs': 10000,
    'stopMs': 400,
    'gangTimeoutMs': 3000,
    'cancel_ms': 3000,
    'visible_ms': 3000,
    'early_ms': 250,
    'finish_s': 14,
    'status_s': 120,
    'remoteFactor': 1.5,
    'checkpointS': 2,
    'restoreMs': 600,
    'noticeMs': 4500,
    'moveS': 1.5,
    'maintenanceS': 2,
    'requireFence': False,
    'leaseMs': 3000,
    'thawMs': 300,
    'paceMs': 100,
    'harmMs': 4000,
}
ZONES = ('midlands-lei', 'midlands-bhm', 'midlands-wol')
MAX_SHOWN = 5


class CannotRun(Exception):
    """The case can't run on this machine."""


class Node:
    """A machine with one process of the project."""

    def __init__(self, name, role, ip, zone):
        self.name, self.role, self.ip, self.zone = name, role, ip, zone
        self.process = None

    @property
    def front(self):
        return f'{self.ip}:{FRONT_PORT}'

    @property
    def running(self):
        return self.process is not None and self.process.poll() is None


class Fleet:
    """All processes and stand-ins of one case.

    :param folder: folder of the case, in which ``record.txt`` is written.
    :param services: services of the workers, one worker for each entry.
    :param routes: routes of the configuration.
    :param plan_of: returns the plan of a task, given its name.
    :param plans: run the workers as processes, with these rows of a prefix of
        task names and the work of such tasks in seconds.
    :param worker: settings of the workers; a tuple holds one for each.
    """

    def __init__(
        self,
        folder,
        services,
        routes,
        plan_of,
        entries=3,
        plans=None,
        **worker,
    ):
        self.began = time.monotonic()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.record_file = (pathlib.Path(folder) / 'record.txt').open('w')
        self.events = []  # (time, kind, fields)
        self.quiet = set()  # kinds that are not written one by one
        self.services, self.routes = services, routes
        base = self._free_subnet()
        self.store_address = f'{base}.1:{STORE_PORT}'
        self.store = store_standin.Store()
        self.entries = [
            Node(
                f'front-{ZONES[n % 3]}-{n}',
                'entry',
                f'{base}.{10 + n}',
                ZONES[n % 3],
            )
            for n in range(entries)
        ]
        self.agents = [
            Node(
                f'side-{ZONES[n % 3]}-{n}',
                'agent',
                f'{base}.{100 + n}',
                ZONES[n % 3],
            )
            for n in range(len(services))
        ]
        self.plans = plans
        self.worker_processes = []
        self.workers = [
            worker_standin.Worker(
                f'i-{n:08x}',
                services[n],
                f'{node.ip}:{WORKER_PORT}',
                f'{node.ip}:{CONTROL_PORT}',
                plan_of,
                self.log,
                zone=node.zone,
                **{
                    k: (v[n] if isinstance(v, tuple) else v)
                    for k, v in worker.items()
                },
            )
            for n, node in enumerate(self.agents)
        ]
        self.tasks = []

    @staticmethod
    def _free_subnet():
        for _ in range(50):
            base = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'
            with socket.socket() as sock:
                try:
                    sock.bind((f'{base}.1', STORE_PORT))
                except OSError:
                    continue
            return base
        raise CannotRun('no free loopback addresses')

    def now(self):
        return time.monotonic() - self.began

    def log(self, kind, **fields):
        """Record what was sent, answered or run."""
        at = self.now()
        self.events.append((at, kind, fields))
        if kind not in self.quiet:
            text = ' '.join(f'{k}={v}' for k, v in fields.items())
            self.record_file.write(f'{at:8.3f} {kind} {text}\n')

    def configure(self, version=5):
        """Write the configuration as the operator does."""
        document = {
            'version': version,
            'routes': self.routes,
            'services': [{'name': n} for n in sorted(set(self.services))],
            'limits': {'maxBodyBytes': 262144, 'maxHeaderBytes': 16384},
        }
        self.store.put('op/config', document)
        self.log('config', version=version)

    # Processes

    def _settings(self, node, service=''):
        is_entry = node.role == 'entry'
        listen = {
            'front': f'{node.ip}:{FRONT_PORT}',
            'ready': f'{node.ip}:{READY_PORT}',
        }
        if not is_entry:
            listen = {'control': f'{node.ip}:{CONTROL_PORT}'}
        settings = {
            'node': node.name,
            'role': node.role,
            'class': 'front' if is_entry else 'side',
            'serves': ['front'] if is_entry else ['side'],
            'ip': node.ip,
            'zone': node.zone,
            'region': 'midlands',
            'zones': {zone: 'midlands' for zone in ZONES},
            'listen': listen,
            'internalPortRange': list(PEER_PORTS),
            'seeds': [],
            'bootstrap': True,
            'inTolerance': False,
            'limits': {
                'cpuShare': 0.645,
                'cores': 1,
                'memoryMb': 300,
                'maxFds': 4100,
                'linkMbps': 1000.0,
                'diskMb': 0,
            },
            'dataDir': None,
            'discovery': 'local',
            'entry': 'vip',
            'heartbeatIntervalMs': 1500,
            'bounds': BOUNDS,
            'controlMode': 'rpc',
            'platform': {
                'addr': self.store_address,
                'form': 'kv',
                'writesPerS': 400,
                'readsPerS': 2000,
                'historyS': 20,
                'valueBytes': 1048576,
                'minTtlMs': 1000,
            },
        }
        if not is_entry:
            settings['app'] = f'{node.ip}:{WORKER_PORT}'
            settings['service'] = service
        return settings

    def start_process(self, node):
        """Start the program of a node with the command of the deploy file."""
        path = self.folder / f'{node.name}.yaml'
        service = ''
        if node.role == 'agent':
            service = self.services[self.agents.index(node)]
        path.write_text(json.dumps(self._settings(node, service)))
        environment = {
            'PATH': os.environ.get('PATH', ''),
            'HOME': os.environ.get('HOME', '/tmp'),
            'LANG': os.environ.get('LANG', 'C.UTF-8'),
            'PYTHONPATH': str(REPOSITORY / 'target' / 'deps'),
            'CITRONRAIL_CONFIG': str(path),
        }
        if node.role == 'entry':
            environment['CITRONRAIL_LOAD_SETTINGS'] = 'deploy/load.json'
        with (self.folder / f'{node.name}.log').open('ab') as output:
            node.process = subprocess.Popen(
                ['python3', '-m', 'citronrail.platform', node.role],
                cwd=REPOSITORY,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                env=environment,
            )
        self.log('process started', node=node.name)

    def signal(self, node, number):
        """Send a signal to a process that this case has started."""
        if node.running:
            node.process.send_signal(number)
            self.log(
                'signal', node=node.name, signal=signal.Signals(number).name
            )

    def kill(self, node):
        self.signal(node, signal.SIGKILL)
        node.process.wait()

    async def start(self):
        """Start all stand-ins and processes; return when jobs can be run."""
        self.configure()
        self._spawn(self.store.serve(self.store_address))
        for worker in self.workers:
            if self.plans is None:
                self._spawn(worker.run())
            else:
                self._start_worker(worker)
        await asyncio.sleep(0.5)
        for node in (*self.entries, *self.agents):
            self.start_process(node)
        ends_at = self.now() + 30
        while True:
            ready = [await self._is_ready(node) for node in self.entries]
            fences = [await self._fence(worker) for worker in self.workers]
            if all(ready) and self.leader() is not None and all(fences):
                break
            if self.now() > ends_at:
                raise CannotRun('the processes did not become ready')
            await asyncio.sleep(0.2)
        self.log('ready', leader=self.leader().name)
        await asyncio.sleep(2.0)

    def _start_worker(self, worker):
        settings = {
            'name': worker.name,
            'service': worker.service,
            'address': worker.address,
            'control': worker.control,
            'zone': worker.zone,
            'cpu': worker.cpu,
            'mem_mb': worker.mem_mb,
            'labels': worker.labels,
            'plans': self.plans,
        }
        program = pathlib.Path(__file__).with_name('worker_main.py')
        self.worker_processes.append(
            subprocess.Popen(
                [sys.executable, str(program), json.dumps(settings)],
                stdin=subprocess.PIPE,
                stdout=subprocess.DEVNULL,
                stderr=subprocess.DEVNULL,
            )
        )

    async def look(self, worker):
        """Return what a worker process runs, None without an answer."""
        status, answer = await http1.call(
            'GET', worker.address, '/review', timeout_s=2.0
        )
        return answer if status == 200 else None

    async def _fence(self, worker):
        if self.plans is None:
            return worker.fence
        answer = await self.look(worker)
        return answer['fence'] if answer else 0

    def _spawn(self, coroutine):
        self.tasks.append(asyncio.create_task(coroutine))

    async def _is_ready(self, node):
        status, _ = await http1.call(
            'GET', f'{node.ip}:{READY_PORT}', '/ready', timeout_s=1.0
        )
        return status == 200

    def leader(self):
        """Return the entry whose name stands in the store, None without."""
        for key, item in self.store.items.items():
            if item['lease']:
                value = self.store.get(key)
                for node in self.entries:
                    if node.name.encode() in value:
                        return node
        return None

    def close(self):
        """End all processes that were started, and the record."""
        for task in self.tasks:
            task.cancel()
        for process in self.worker_processes:
            process.stdin.close()
            process.kill()
            process.wait()
        for node in (*self.entries, *self.agents):
            if node.process is not None:
                with contextlib.suppress(ProcessLookupError):
                    node.process.send_signal(signal.SIGCONT)
                    node.process.kill()
                node.process.wait()
        self.record_file.close()
        if os.environ.get('KEEP_LOGS'):
            sys.stdout.write(f'{self.folder}\n')
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # Clients

    async def request(self, node, method, host, path, body=None, **more):
        """Send one request of a client and record it with its answer."""
        self.log(
            'request', method=method, node=node.name, host=host, path=path
        )
        status, answer = await http1.call(
            method,
            node.front,
            path,
            body,
            headers=[('Host', host), ('Deadline-Ms', '3000')],
            **more,
        )
        self.log(
            'answer', method=method, path=path, status=status, body=answer
        )
        return status, answer

    async def submit(self, host, path, body, first=0):
        """Submit a job with up to 5 tries; return whether it was accepted."""
        for number in range(5):
            node = self.entries[(first + number) % len(self.entries)]
            status, _ = await self.request(node, 'POST', host, path, body)
            if status == 200:
                return True
            await asyncio.sleep(0.3)
        return False

    def of(self, kind):
        """Return the recorded events of a kind."""
        return [
            (at, fields) for at, name, fields in self.events if name == kind
        ]


def main(case, folder):
    """Run ``case(folder, trouble) -> list of broken rules`` and exit."""
    trouble = os.environ.get('TROUBLE', '1') != '0'
    try:
        broken = asyncio.run(case(folder, trouble))
    except Exception as exc:  # noqa: BLE001 - 1 would say that a rule broke
        sys.stdout.write(f'could not run: {exc!r}\n')
        sys.exit(2)
    for line in broken[:MAX_SHOWN]:
        sys.stdout.write(f'broken: {line}\n')
    if broken:
        sys.stdout.write(f'{len(broken)} in all\n')
    if not broken:
        sys.stdout.write('held\n')
    sys.exit(1 if broken else 0)
