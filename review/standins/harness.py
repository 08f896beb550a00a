"""Starts a small deployment for a case and ends it again."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
import zlib

import web

ROOT = pathlib.Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 115.0  # a script may take 120 s
STORE_PORT, ADMIN_PORT = 8169, 8170
FRONT_PORT, READY_PORT, CONTROL_PORT, APP_PORT = 8161, 8167, 8166, 8165
ZONES = ('zone-a', 'zone-b', 'zone-c')
SERVICE = 'planner'
HOST = 'jobs.example'
# Those of the site cantabrico-taquilla.
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
    'maxHoldMs': 6000,
    'stopMs': 200,
    'gangTimeoutMs': 3000,
    'cancel_ms': 3000,
    'visible_ms': 3000,
    'early_ms': 250,
    'finish_s': 14,
    'status_s': 120,
    'remoteFactor': 1.5,
    'checkpointS': 2,
    'restoreMs': 100,
    'noticeMs': 4500,
    'moveS': 1.5,
    'maintenanceS': 2,
    'requireFence': False,
    'leaseMs': 3000,
    'thawMs': 300,
    'paceMs': 100,
    'harmMs': 4000,
}


class CannotRun(Exception):
    """The case can't be played here."""


def route(name, prefix, *, priority=0, attempts=4, service=SERVICE):
    """Return a route of the configuration."""
    return {
        'name': name,
        'host': HOST,
        'prefix': prefix,
        'kind': 'unsafe',
        'timeoutMs': 3000,
        'targetCompletionMs': 1000,
        'priority': priority,
        'service': service,
        'maxAttempts': attempts,
        'stretch': 2.0,
    }


def config(version, routes):
    """Return a configuration document."""
    return json.dumps(
        {
            'version': version,
            'routes': routes,
            'services': [
                {
                    'name': SERVICE,
                    'healthPath': '/health',
                    'maxConns': 64,
                    'protocol': 'h1',
                    'tls': False,
                    'coldStartS': 0.0,
                    'coldPerS': 0.0,
                    'rejectsOverload': False,
                    'standby': False,
                }
            ],
            'limits': {
                'maxHeaderBytes': 16384,
                'maxBodyBytes': 262144,
                'headerTimeoutMs': 3000,
                'idleTimeoutMs': 15000,
            },
        }
    )


def _free_subnet():
    rng = random.Random()
    for _ in range(50):
        subnet = f'127.{rng.randrange(10, 250)}.{rng.randrange(1, 250)}'
        with contextlib.ExitStack() as stack:
            try:
                for number, port in (
                    (1, STORE_PORT),
                    (1, ADMIN_PORT),
                    (10, FRONT_PORT),
                    (100, CONTROL_PORT),
                    (100, APP_PORT),
                ):
                    sock = stack.enter_context(socket.socket())
                    sock.bind((f'{subnet}.{number}', port))
            except OSError:
                continue
            return subnet
    raise CannotRun('no free addresses')


class Deployment:
    """A store, entries, agents and workers as processes.

    :param folder: folder of the case, for ``record.txt``.
    :param entries: number of entries.
    :param agents: number of agents, each with a worker.
    :param cpu: processors of a worker in thousandths of a core.
    :param mem_mb: memory of a worker.
    """

    def __init__(
        self, folder, *, entries=3, agents=3, cpu=64000, mem_mb=250000
    ):
        self.record_file = (folder / 'record.txt').open('w')
        self.began = time.time()
        self._temp = tempfile.TemporaryDirectory()
        self.tmp = pathlib.Path(self._temp.name)
        self.events_path = self.tmp / 'events.jsonl'
        self.events_path.touch()
        self.subnet = _free_subnet()
        self.store = f'{self.subnet}.1:{STORE_PORT}'
        self.admin_address = f'{self.subnet}.1:{ADMIN_PORT}'
        self.entries = [f'{self.subnet}.{10 + n}' for n in range(entries)]
        self.agents = [f'{self.subnet}.{100 + n}' for n in range(agents)]
        self.processes = {}
        self.roles = tomllib.loads(
            (ROOT / 'deploy' / 'system.toml').read_text()
        )['roles']
        self.labels = [['a', f'r1-{n + 1}'] for n in range(agents)]
        self.worker_cpu = cpu
        self.worker_mem_mb = mem_mb

    def record(self, text):
        """Write a line to the record."""
        line = f'{time.time() - self.began:7.3f} {text}'
        print(line, file=self.record_file, flush=True)

    def fronts(self):
        """Return the addresses for clients."""
        return [f'{ip}:{FRONT_PORT}' for ip in self.entries]

    # Processes

    def _spawn(self, name, argv, env=None):
        log = (self.tmp / f'{name}.log').open('ab')
        self.processes[name] = subprocess.Popen(
            argv,
            cwd=ROOT,
            env={**os.environ, **(env or {})},
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        log.close()

    def _start_role(self, role, name, settings):
        path = self.tmp / f'{name}.yaml'
        path.write_text(json.dumps(settings))
        part = self.roles[role]
        deps = str(ROOT / 'target' / 'deps')
        self._spawn(
            name,
            shlex.split(part['run']),
            {
                **part.get('env', {}),
                'PYTHONPATH': deps,
                'PYTHONDONTWRITEBYTECODE': '1',
                'CITRONRAIL_CONFIG': str(path),
            },
        )

    def _settings(self, name, cls, number, ip):
        return {
            'node': name,
            'role': 'entry' if cls == 'front' else 'agent',
            'class': cls,
            'serves': [cls],
            'ip': ip,
            'zone': ZONES[number % 3],
            'region': 'region',
            'zones': {zone: 'region' for zone in ZONES},
            'internalPortRange': [7720, 7735],
            'seeds': [],
            'bootstrap': True,
            'limits': {
                'cpuShare': 0.43 if cls == 'front' else 0.645,
                'cores': 1,
                'memoryMb': 300 if cls == 'front' else 168,
                'maxFds': 4100,
                'linkMbps': 1000.0,
                'diskMb': 0,
            },
            'heartbeatIntervalMs': 1500,
            'bounds': BOUNDS,
            'controlMode': 'rpc',
            'platform': {
                'addr': self.store,
                'form': 'kv',
                'writesPerS': 400,
                'readsPerS': 2000,
                'historyS': 20,
                'valueBytes': 1048576,
                'minTtlMs': 1000,
            },
        }

    def start_entry(self, number):
        """Start an entry."""
        ip = self.entries[number]
        name = f'front-{number + 1}'
        settings = self._settings(name, 'front', number, ip)
        settings['listen'] = {
            'front': f'{ip}:{FRONT_PORT}',
            'ready': f'{ip}:{READY_PORT}',
        }
        self._start_role('entry', name, settings)

    def start_agent(self, number):
        """Start an agent."""
        ip = self.agents[number]
        name = f'side-{number + 1}'
        settings = self._settings(name, 'side', number, ip)
        settings['listen'] = {'control': f'{ip}:{CONTROL_PORT}'}
        settings['app'] = f'{ip}:{APP_PORT}'
        settings['service'] = SERVICE
        self._start_role('agent', name, settings)

    def start_worker(self, number, *, cpu=0, labels=None, first_beat_ms=0):
        """Start the worker beside an agent, always under the same ID."""
        ip = self.agents[number]
        cfg = {
            'id': f'i-00000{number + 1:03d}',
            'service': SERVICE,
            'zone': ZONES[number % 3],
            'cpu': cpu or self.worker_cpu,
            'memMb': self.worker_mem_mb,
            'labels': labels or self.labels[number],
            'app': f'{ip}:{APP_PORT}',
            'control': f'{ip}:{CONTROL_PORT}',
            'events': str(self.events_path),
            'firstBeatMs': first_beat_ms,
            'heartbeatIntervalMs': 1500,
            'drainMs': BOUNDS['drainMs'],
            'maxHoldMs': BOUNDS['maxHoldMs'],
            'stopMs': BOUNDS['stopMs'],
        }
        script = str(pathlib.Path(__file__).with_name('worker.py'))
        self._spawn(
            f'worker-{number + 1}', [sys.executable, script, json.dumps(cfg)]
        )
        self.record(f'worker-{number + 1} started, cpu {cfg["cpu"]}')

    def signal(self, name, number):
        """Send a signal to a process that this case started."""
        self.record(f'{name} gets {signal.Signals(number).name}')
        self.processes[name].send_signal(number)

    async def start(self, routes):
        """Start everything, and wait until all entries are ready."""
        if not (ROOT / 'target' / 'deps').is_dir():
            raise CannotRun('the deploy file has not been built')
        script = str(pathlib.Path(__file__).with_name('store.py'))
        host = f'{self.subnet}.1'
        self._spawn(
            'store',
            [sys.executable, script, host, str(STORE_PORT), str(ADMIN_PORT)],
        )
        await self.until(self._store_answers, 10, 'the store')
        await self.operator('op/config', config(1, routes))
        for number in range(len(self.agents)):
            self.start_agent(number)
        for number in range(len(self.entries)):
            self.start_entry(number)
        for number in range(len(self.agents)):
            self.start_worker(number)
        await self.until(self._ready, 30, 'the entries')
        self.record('all entries are ready')

    async def until(self, check, limit_s, what):
        """Wait until a check succeeds.

        :raises CannotRun: if it doesn't in time.
        """
        until = time.monotonic() + limit_s
        while not await check():
            if time.monotonic() > until:
                raise CannotRun(f'{what} did not come up')
            await asyncio.sleep(0.1)

    async def _store_answers(self):
        status, _ = await self.admin('/admin/state')
        return status == 200

    async def _ready(self):
        answers = [
            await web.call(f'{ip}:{READY_PORT}', 'GET', '/ready')
            for ip in self.entries
        ]
        return all(status == 200 for status, _ in answers)

    async def admin(self, path, body=None):
        """Make a call of the test to the store."""
        return await web.call(self.admin_address, 'POST', path, body or {})

    async def operator(self, key, value):
        """Write a key as the operator; return the time of the answer."""
        status, _ = await self.admin(
            '/admin/put', {'key': key, 'value': value}
        )
        if status != 200:
            raise CannotRun('the operator could not write')
        self.record(f'operator wrote {key}, acknowledged')
        return time.time()

    # Clients

    async def submit(self, path, body, *, tries=5, front=None):
        """Submit a job as a client does; return the statuses."""
        statuses = []
        for number in range(tries):
            fronts = self.fronts()
            first = zlib.crc32(path.encode())
            address = front or fronts[(first + number) % len(fronts)]
            status, _ = await web.call(
                address,
                'POST',
                path,
                body,
                headers={'Host': HOST, 'Deadline-Ms': '3000'},
                timeout_s=3.5,
            )
            statuses.append(status)
            if 200 <= status < 300 or status == 404:
                break
            await asyncio.sleep(0.3)
        self.record(f'client POST {path} -> {statuses}')
        return statuses

    async def state(self, path):
        """Ask for the state of a job at all entries; '' without answer."""
        for address in self.fronts():
            status, body = await web.call(
                address,
                'GET',
                path,
                headers={'Host': HOST, 'Deadline-Ms': '3000'},
            )
            if status == 200:
                return body['state']
            if status == 410:
                return 'no such job'
        return ''

    async def cancel(self, path, front=None):
        """Cancel a job; return the status."""
        status, _ = await web.call(
            front or self.fronts()[0],
            'DELETE',
            path,
            headers={'Host': HOST, 'Deadline-Ms': '3000'},
        )
        self.record(f'client DELETE {path} -> {status}')
        return status

    # Evidence

    def events(self):
        """Return all events of the workers, oldest first."""
        found = []
        for line in self.events_path.read_text().splitlines():
            with contextlib.suppress(ValueError):
                found.append(json.loads(line))
        return sorted(found, key=lambda event: event['at'])

    def log_lines(self, name, words):
        """Return the log lines of a process that contain a word."""
        text = (self.tmp / f'{name}.log').read_text(errors='replace')
        return [
            line
            for line in text.splitlines()
            if any(word in line for word in words)
        ]

    def close(self):
        """Record what the workers saw and end all processes."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGKILL)
        for process in self.processes.values():
            process.wait()
        for event in self.events():
            at = event.pop('at') - self.began
            print(f'{at:7.3f} worker {event}', file=self.record_file)
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            pathlib.Path(keep).mkdir(parents=True, exist_ok=True)
            for path in self.tmp.glob('*.log'):
                pathlib.Path(keep, path.name).write_bytes(path.read_bytes())
        self.record_file.close()
        self._temp.cleanup()


def trouble():
    """Return whether the disruption is played."""
    return os.environ.get('TROUBLE', '1') != '0'


def run(case, folder, **sizes):
    """Play a case and exit as a script of a case has to.

    :param case: awaited with the deployment; returns the broken rules.
    :param folder: folder of the case.
    """
    try:
        deployment = Deployment(folder, **sizes)
    except CannotRun as exc:
        sys.stderr.write(f'could not run: {exc}\n')
        sys.exit(NOT_RUN)
    code = NOT_RUN
    # A case that is stopped from outside ends its processes as well.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        broken = asyncio.run(asyncio.wait_for(case(deployment), LIMIT_S))
        for text in broken:
            deployment.record(f'BROKEN {text}')
        deployment.record(f'{len(broken)} broken' if broken else 'held')
        code = BROKEN if broken else HELD
    except Exception as exc:  # noqa: BLE001 - it is no result of the case
        deployment.record(f'could not run: {exc!r}')
        traceback.print_exc()
    finally:
        deployment.close()
    sys.exit(code)
