"""A small deployment on loopback addresses: stand-ins for one case.

Store, workers and clients run in this process, on asyncio and the standard
library only. Entries and agents are the project's own programs, started with
the commands of the deploy file. Stand-ins follow PROTOCOL.md; where it is
silent they behave like a sound store, worker or client.
"""

import asyncio
import base64
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
STORE_PORT = 8169
WORKER_PORT = 8165
FRONT_PORT = 8161
READY_PORT = 8167
CONTROL_PORT = 8166
HOST = 'jobs.example'
PREFIX = '/jobs/'
HEARTBEAT_S = 1.5
RESTART_DELAY_S = 0.3  # an ended process starts again after this
HELD = 0
FAILED = 1
COULD_NOT_RUN = 2


class CannotRun(Exception):
    """The case could not be carried out."""


class NoAnswer(Exception):
    """The connection ends without an answer."""


@dataclasses.dataclass(frozen=True)
class Event:
    """What became of a run: a start, an end, or an acknowledged end."""

    worker: 'Worker'
    task: str
    run: int
    how: str = ''


class Record:
    """Lines of what was sent, answered and run, with the time in seconds."""

    def __init__(self, path):
        self.began_at = time.monotonic()
        # Stays open until the process ends.
        self._file = open(path, 'w', buffering=1)  # noqa: SIM115

    def now(self):
        return time.monotonic() - self.began_at

    def write(self, text):
        self._file.write(f'{self.now():8.3f} {text}\n')


# HTTP


async def read_message(reader):
    """Read one HTTP/1.1 message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        if name:
            headers[name.strip().lower()] = value.strip()
    try:
        if headers.get('transfer-encoding', '').lower() == 'chunked':
            body = b''
            while size := int((await reader.readline()).split(b';')[0], 16):
                body += await reader.readexactly(size)
                await reader.readline()
            await reader.readline()
        else:
            length = int(headers.get('content-length', 0))
            body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


class Server:
    """HTTP/1.1 server; ``handle(method, path, query, headers, body)``."""

    def __init__(self, ip, port, handle):
        self._ip, self._port, self._handle = ip, port, handle
        self._server = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, self._ip, self._port, limit=2**23
        )

    async def stop(self):
        """Close the port and reset all connections, as a crash does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                first, headers, body = message
                method, target, _ = first.split(' ', 2)
                parts = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(parts.query))
                path = urllib.parse.unquote(parts.path)
                status, answer = await self._handle(
                    method, path, query, headers, body
                )
                data = json.dumps(answer).encode()
                writer.write(
                    f'HTTP/1.1 {status} X\r\n'
                    'Content-Type: application/json\r\n'
                    f'Content-Length: {len(data)}\r\n\r\n'.encode()
                    + data
                )
                await writer.drain()
        except (NoAnswer, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def call(ip, port, method, path, body=None, headers=None, timeout_s=3.0):
    """Make one call on a connection of its own.

    :returns: status and decoded body; status 0 without an answer.
    """
    data = b'' if body is None else json.dumps(body).encode()
    all_headers = {'Host': f'{ip}:{port}', 'Connection': 'close'}
    if body is not None:
        all_headers['Content-Type'] = 'application/json'
    all_headers['Content-Length'] = str(len(data))
    all_headers.update(headers or {})
    head = ''.join(f'{k}: {v}\r\n' for k, v in all_headers.items())
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(f'{method} {path} HTTP/1.1\r\n{head}\r\n'.encode())
            writer.write(data)
            await writer.drain()
            message = await read_message(reader)
    except (OSError, TimeoutError):
        message = None
    finally:
        if writer is not None:
            writer.close()
    if message is None:
        return 0, {}
    status = int(message[0].split(' ')[1])
    try:
        return status, json.loads(message[2] or b'{}')
    except ValueError:
        return status, {}


# The platform's store


class Store:
    """The platform's metadata store."""

    PAGE = 500

    def __init__(self):
        self.revision = 10
        self.items = {}  # key: (value, rev, created, lease)
        self.events = []
        self.leases = {}  # id: [ttl_s, ends_at]
        self._next_lease = 100
        self._changed = asyncio.Event()

    def put(self, key, value):
        """Write as the operator."""
        self._apply([(key, json.dumps(value).encode(), 0)], [])

    def _apply(self, puts, deletes):
        deletes = [key for key in deletes if key in self.items]
        if not puts and not deletes:
            return
        self.revision += 1
        for key, value, lease in puts:
            created = self.items.get(key, (0, 0, self.revision, 0))[2]
            self.items[key] = (value, self.revision, created, lease)
            self.events.append((self.revision, key, self._item(key)))
        for key in deletes:
            del self.items[key]
            gone = {'key': key, 'rev': self.revision, 'removed': True}
            self.events.append((self.revision, key, gone))
        self._changed.set()
        self._changed = asyncio.Event()

    def _item(self, key):
        value, rev, created, lease = self.items[key]
        text = base64.b64encode(value).decode()
        return {
            'key': key,
            'value': text,
            'rev': rev,
            'created': created,
            'lease': lease,
        }

    async def expire(self):
        """End leases whose time has passed, until cancelled."""
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease, (_, ends_at) in list(self.leases.items()):
                if now >= ends_at:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        del self.leases[lease]
        self._apply([], [k for k, v in self.items.items() if v[3] == lease])

    async def handle(self, method, path, query, headers, body):
        del method, headers
        if path == '/kv-key':
            if query['key'] not in self.items:
                return 404, {}
            return 200, self._item(query['key']) | {'asOf': self.revision}
        if path == '/kv-range':
            after = query.get('after', '')
            keys = sorted(
                key
                for key in self.items
                if key.startswith(query['prefix']) and key > after
            )
            page = [self._item(key) for key in keys[: self.PAGE]]
            more = len(keys) > self.PAGE
            return 200, {'items': page, 'hasMore': more, 'asOf': self.revision}
        if path == '/kv-watch':
            return await self._watch(query)
        if path == '/kv-txn':
            return self._txn(json.loads(body))
        if path == '/kv-lease':
            ttl_ms = json.loads(body)['ttlMs']
            if not 1000 <= ttl_ms <= 600_000:
                return 400, {}
            self._next_lease += 1
            ends_at = time.monotonic() + ttl_ms / 1000
            self.leases[self._next_lease] = [ttl_ms / 1000, ends_at]
            return 200, {'lease': self._next_lease, 'ttlMs': ttl_ms}
        kind, _, number = path.strip('/').partition('/')
        lease = int(number) if number.isdigit() else -1
        if lease not in self.leases:
            return 404, {}
        if kind == 'kv-keep':
            ttl_s = self.leases[lease][0]
            self.leases[lease][1] = time.monotonic() + ttl_s
            return 200, {'ttlMs': round(ttl_s * 1000)}
        self._end_lease(lease)
        return 200, {}

    async def _watch(self, query):
        after = int(query['after'])
        ends_at = time.monotonic() + int(query['waitMs']) / 1000
        while True:
            changed = self._changed
            found = [
                event
                for rev, key, event in self.events
                if rev > after and key.startswith(query['prefix'])
            ]
            left_s = ends_at - time.monotonic()
            if found or left_s <= 0:
                return 200, {'events': found, 'asOf': self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)

    def _txn(self, body):
        failed = False
        for row in body.get('expectedRev', ()):
            item = self.items.get(row['key'])
            failed |= (item[1] if item else 0) != row['rev']
        if failed:
            shown = [
                self._item(row['key'])
                for row in body['expectedRev']
                if row['key'] in self.items
            ]
            return 412, {'items': shown}
        puts = [
            (row['key'], base64.b64decode(row['value']), row.get('lease', 0))
            for row in body.get('puts', ())
        ]
        if any(lease and lease not in self.leases for _, _, lease in puts):
            return 404, {}
        self._apply(puts, body.get('deletes', ()))
        return 200, {'rev': self.revision}


# Workers


class Worker:
    """A worker: one life at a time, on the machine of one agent.

    ``plan(task, run)`` returns the seconds of work of a run. ``gang(task)``
    returns how many members the gang of a task has, 0 for none.
    """

    def __init__(self, deployment, name, ip, service, cpu, memory, labels):
        self.deployment = deployment
        self.record = deployment.record
        self.name, self.ip, self.service = name, ip, service
        self.cpu, self.memory, self.labels = cpu, memory, labels
        self.id = f'i-{name}'
        self.up = False
        self.starts = []  # (time, task, run, life)
        self.server = Server(ip, WORKER_PORT, self._receive)
        # May keep a call from being answered: ``async (path, body) -> bool``.
        self.intercept = None
        self.tasks_started = 0
        self._born_ms = 0

    async def boot(self):
        """Start a life, which knows nothing of earlier ones."""
        self._born_ms = max(self._born_ms + 1, int(time.time() * 1000))
        self._born_at = time.monotonic()
        self.fence = 0
        self.lease_ms = 0
        self.runs = {}  # (task, run): [begun_at, work_s, stop_at, done_s]
        self.ends = []
        self.end_count = 0
        self.highest = {}
        self.seq = 0
        self._ended = asyncio.Event()
        await self.server.start()
        self.up = True
        self.record.write(f'{self.name} up born={self._born_ms}')
        self.deployment.spawn(self._beat(self._born_ms))
        self.deployment.spawn(self._work(self._born_ms))

    async def crash(self):
        """End at once; everything that runs ends with it."""
        self.up = False
        runs, self.runs = self.runs, {}
        for task, run in runs:
            self.record.write(f'{self.name} lost {task}#{run}')
            self.deployment.on_end(Event(self, task, run, 'lost'))
        self.record.write(f'{self.name} down')
        await self.server.stop()

    def clock_ms(self):
        return 1000 + int((time.monotonic() - self._born_at) * 1000)

    def alive(self, born_ms):
        return self.up and self._born_ms == born_ms

    async def _beat(self, born_ms):
        while self.alive(born_ms):
            self.seq += 1
            body = {
                'service': self.service,
                'addr': f'{self.ip}:{WORKER_PORT}',
                'zone': 'zone-a',
                'version': 'v1',
                'slots': 8,
                'state': 'ready',
                'coldLeftMs': 0,
                'capacity': {'cpu': self.cpu, 'memMb': self.memory, 'gpu': 0},
                'labels': self.labels,
                'clockMs': self.clock_ms(),
                'seq': self.seq,
                'born': born_ms,
            }
            status, _ = await call(
                self.ip,
                CONTROL_PORT,
                'POST',
                f'/Instances.Heartbeat/{self.id}',
                body,
                timeout_s=1.0,
            )
            await asyncio.sleep(HEARTBEAT_S if status == 200 else 0.1)

    async def _work(self, born_ms):
        while self.alive(born_ms):
            self._advance()
            await asyncio.sleep(0.02)

    def _advance(self):
        now = time.monotonic()
        if self.runs and self.clock_ms() > self.lease_ms:
            for key in tuple(self.runs):
                self._end(key, 'lapsed')
        for key in tuple(self.runs):
            run = self.runs.get(key)
            if run is None:
                continue
            if run['stop_at'] and now >= run['stop_at']:
                self._end(key, 'stopped')
                continue
            left_s = self.deployment.advance(self, key, run, now)
            if left_s <= 0:
                self._end(key, 'done')

    def _end(self, key, how):
        task, run = key
        del self.runs[key]
        self.highest[task] = max(run, self.highest.get(task, 0))
        self.end_count += 1
        self.ends.append([self.end_count, task, run, how, ''])
        self.record.write(
            f'{self.name} end {self.end_count} {task}#{run} {how}'
        )
        self.deployment.on_end(Event(self, task, run, how))
        self._ended.set()
        self._ended = asyncio.Event()

    async def _receive(self, method, path, query, headers, body):
        del method, query
        target = headers.get('target-instance', self.id)
        order = json.loads(body or b'{}')
        if self.intercept is not None and self.intercept(path, order, target):
            await asyncio.sleep(3600)  # the caller gives up before
            raise NoAnswer
        return await self.carry_out(path, order, target)

    async def carry_out(self, path, order, target):
        """Carry out one call on the present life."""
        if target != self.id:
            return 421, {}
        token = order.get('fencingToken', 0)
        if token < self.fence:
            return self._refusal('fence')
        self.fence = token
        if path == '/hold':
            return await self._hold(order)
        if path == '/run-start':
            return self._start(order)
        if path == '/run-stop':
            return self._stop(order)
        if path == '/pace':
            return 200, {'clockMs': self.clock_ms()}
        return 404, {}

    def _refusal(self, reason):
        return 409, {'clockMs': self.clock_ms(), 'reason': reason}

    def _extend(self, deadline_ms):
        longest = self.clock_ms() + self.deployment.max_hold_ms
        self.lease_ms = max(self.lease_ms, min(deadline_ms, longest))

    async def _hold(self, order):
        born_ms = self._born_ms
        self._extend(order.get('deadlineMs', 0))
        for end in self.ends:
            if end[0] <= order['ackCursor']:
                self.record.write(
                    f'{self.name} acknowledged {end[0]} {end[1]}#{end[2]}'
                    f' {end[3]}'
                )
                self.deployment.on_acknowledged(Event(self, *end[1:4]))
        self.ends = [e for e in self.ends if e[0] > order['ackCursor']]
        ends_at = time.monotonic() + order.get('waitMs', 0) / 1000
        while not self.ends and (left := ends_at - time.monotonic()) > 0:
            try:
                await asyncio.wait_for(self._ended.wait(), left)
            except TimeoutError:
                break
        if not self.alive(born_ms):
            raise NoAnswer
        running = [
            [
                task,
                number,
                '',
                self.deployment.percent(run),
                self.deployment.load(task),
            ]
            for (task, number), run in self.runs.items()
        ]
        return 200, {
            'clockMs': self.clock_ms(),
            'born': self._born_ms,
            'running': running,
            'ended': self.ends[:500],
        }

    def _start(self, order):
        task, run = order['task'], order['run']
        if run <= self.highest.get(task, 0):
            self._extend(order['deadlineMs'])
            return self._refusal('old')
        if (task, run) in self.runs:
            return 200, {'clockMs': self.clock_ms()}
        if order['deadlineMs'] <= self.clock_ms():
            return self._refusal('late')
        self._extend(order['deadlineMs'])
        self.runs[task, run] = {
            'begun_at': time.monotonic(),
            'advanced_at': time.monotonic(),
            'work_s': self.deployment.plan(task, run),
            'done_s': 0.0,
            'stop_at': 0.0,
        }
        self.tasks_started += 1
        self.record.write(f'{self.name} start {task}#{run}')
        self.deployment.on_start(Event(self, task, run))
        return 200, {'clockMs': self.clock_ms()}

    def _stop(self, order):
        key = order['task'], order['run']
        self.record.write(f'{self.name} stop {key[0]}#{key[1]}')
        if key in self.runs:
            self.runs[key]['stop_at'] = time.monotonic() + 0.1
        else:
            highest = self.highest.get(key[0], 0)
            self.highest[key[0]] = max(highest, key[1])
        return 200, {'clockMs': self.clock_ms()}


# The deployment


class Deployment:
    """Entries, agents and stand-ins; a case overrides what it needs."""

    entry_count = 2
    max_hold_ms = 6000
    memory_mb = {'entry': 300, 'agent': 168}
    writes_per_s = 400
    workers_of = {'pool': 3}
    worker_cpu = 16_000
    worker_memory = 64_000
    max_attempts = 4

    def __init__(self, record):
        self.record = record
        self.trouble = os.environ.get('TROUBLE', '1') != '0'
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-3-'))
        self.net = f'127.{random.randrange(20, 220)}.{random.randrange(250)}'
        self.store = Store()
        self.tasks = set()
        self.processes = {}  # name: Popen
        self.exits = []  # (time, name, cause)
        self.closing = False
        self.work_s = {}  # job ID: seconds of work of its tasks
        self.workers = []
        number = 0
        for service, count in self.workers_of.items():
            for _ in range(count):
                self.workers.append(
                    Worker(
                        self,
                        f'w{number}',
                        f'{self.net}.{100 + number}',
                        service,
                        self.worker_cpu,
                        self.worker_memory,
                        ['a', f'r1-{number // 3}'],
                    )
                )
                number += 1

    # What tasks do; see Worker.

    def plan(self, task, run):
        del run
        return self.work_s.get(task.split('.')[0], 1.0)

    def advance(self, worker, key, run, now):
        del worker, key
        run['done_s'] += now - run['advanced_at']
        run['advanced_at'] = now
        return run['work_s'] - run['done_s']

    def percent(self, run):
        return min(99, int(100 * run['done_s'] / max(run['work_s'], 0.001)))

    def load(self, task):
        """Return the tail latency in ms, or the processors in use."""
        del task
        return 0

    def on_start(self, event):
        pass

    def on_end(self, event):
        pass

    def on_acknowledged(self, event):
        pass

    # Processes

    def spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task):
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.record.write(f'stand-in failed: {task.exception()!r}')

    def entry_ip(self, number):
        return f'{self.net}.{10 + number}'

    def _settings(self, name, role, ip, service=''):
        listen = {'control': f'{ip}:{CONTROL_PORT}'}
        if role == 'entry':
            listen = {
                'front': f'{ip}:{FRONT_PORT}',
                'ready': f'{ip}:{READY_PORT}',
            }
        cfg = {
            'node': name,
            'role': role,
            'class': 'front' if role == 'entry' else 'side',
            'serves': ['front' if role == 'entry' else 'side'],
            'ip': ip,
            'zone': 'zone-a',
            'region': 'here',
            'zones': {'zone-a': 'here'},
            'listen': listen,
            'internalPortRange': [7720, 7735],
            'seeds': [],
            'bootstrap': True,
            'limits': {
                'cpuShare': 1.0,
                'cores': 1,
                'memoryMb': self.memory_mb[role],
                'maxFds': 4100,
                'linkMbps': 1000.0,
                'diskMb': 0,
            },
            'dataDir': None,
            'discovery': 'local',
            'entry': 'vip',
            'heartbeatIntervalMs': 1500,
            'bounds': {
                'contactMs': 3000,
                'ackMs': 4000,
                'drainMs': 2000,
                'graceS': 6,
                'maxHoldMs': self.max_hold_ms,
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
                'evacuateMs': 5000,
                'harmMs': 4000,
                'paceMs': 100,
            },
            'controlMode': 'rpc',
            'platform': {
                'addr': f'{self.net}.1:{STORE_PORT}',
                'form': 'kv',
                'writesPerS': self.writes_per_s,
                'readsPerS': 5 * self.writes_per_s,
                'historyS': 20,
                'valueBytes': 1_048_576,
                'minTtlMs': 1000,
            },
        }
        if role == 'agent':
            cfg['app'] = f'{ip}:{WORKER_PORT}'
            cfg['service'] = service
        path = self.folder / f'{name}.yaml'
        path.write_text(json.dumps(cfg))  # which is YAML, too
        return path

    def start_process(self, name, role, ip, service=''):
        """Start a program with its command of the deploy file."""
        env = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG')
            if key in os.environ
        }
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        env['CITRONRAIL_CONFIG'] = str(self._settings(name, role, ip, service))
        if role == 'entry':
            env['CITRONRAIL_LOAD_SETTINGS'] = 'deploy/load.json'
        with open(self.folder / f'{name}.log', 'ab') as log:
            process = subprocess.Popen(
                [sys.executable, '-m', 'citronrail.platform', role],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.processes[name] = process
        self.record.write(f'{name} started as process {process.pid}')
        self.spawn(self._supervise(name, role, ip, service, process))

    async def _supervise(self, name, role, ip, service, process):
        """Start an ended process again; kill one over its memory limit."""
        cause = 'by itself'
        while process.poll() is None:
            if rss_mb(process.pid) > self.memory_mb[role]:
                cause = f'over {self.memory_mb[role]} MB'
                process.kill()
            await asyncio.sleep(0.1)
        if self.closing:
            return
        self.exits.append((self.record.now(), name, cause))
        self.record.write(f'{name} ended, {cause}: {process.returncode}')
        await asyncio.sleep(RESTART_DELAY_S)
        if not self.closing:
            self.start_process(name, role, ip, service)

    async def start(self):
        self.store.put('op/config', self.config())
        await Server(f'{self.net}.1', STORE_PORT, self.store.handle).start()
        self.spawn(self.store.expire())
        for worker in self.workers:
            await worker.boot()
            name = worker.name.replace('w', 'side-')
            self.start_process(name, 'agent', worker.ip, worker.service)
        for number in range(self.entry_count):
            self.start_process(
                f'front-{number}', 'entry', self.entry_ip(number)
            )
        ends_at = time.monotonic() + 20.0
        for number in range(self.entry_count):
            while True:
                status, _ = await call(
                    self.entry_ip(number), READY_PORT, 'GET', '/ready'
                )
                if status == 200:
                    break
                if time.monotonic() > ends_at:
                    raise CannotRun('an entry is not ready')
                await asyncio.sleep(0.2)
        self.record.write('all entries are ready')

    def config(self):
        return {
            'version': 3,
            'routes': [
                {
                    'name': f'queue-{service}',
                    'host': HOST,
                    'prefix': f'{PREFIX}{service}/',
                    'service': service,
                    'priority': 0,
                    'maxAttempts': self.max_attempts,
                    'stretch': 2.0,
                    'targetCompletionMs': 1000,
                    'timeoutMs': 3000,
                }
                for service in self.workers_of
            ],
            'services': [
                {'name': service, 'rejectsOverload': False, 'standby': False}
                for service in self.workers_of
            ],
            'limits': {'maxBodyBytes': 262_144, 'maxHeaderBytes': 16_384},
        }

    def close(self):
        self.closing = True
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get('KEEP') == '1':
            self.record.write(f'logs in {self.folder}')
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # Clients

    async def submit(self, job_id, body, service='pool', tries=5):
        """Hand a job in as a client does; return whether it was accepted."""
        path = f'{PREFIX}{service}/{job_id}'
        for attempt in range(tries):
            ip = self.entry_ip((attempt + hash(job_id)) % self.entry_count)
            status, _ = await call(
                ip,
                FRONT_PORT,
                'POST',
                path,
                body,
                {'Host': HOST, 'Deadline-Ms': '3000'},
            )
            self.record.write(f'client POST {job_id} at {ip}: {status}')
            if status // 100 == 2:
                return True
            await asyncio.sleep(0.3)
        return False

    async def state(self, job_id, service='pool'):
        """Ask each entry for a state; '' without an answer."""
        path = f'{PREFIX}{service}/{job_id}'
        for number in range(self.entry_count):
            status, answer = await call(
                self.entry_ip(number),
                FRONT_PORT,
                'GET',
                path,
                None,
                {'Host': HOST, 'Deadline-Ms': '3000'},
            )
            shown = answer.get('state', '') if status == 200 else str(status)
            self.record.write(f'client GET {job_id} entry {number}: {shown}')
            if status in (200, 410):
                return shown
        return ''

    async def await_state(self, job_id, wanted, wait_s, service='pool'):
        """Ask until a state of ``wanted`` is shown; return the last one."""
        ends_at = time.monotonic() + wait_s
        while True:
            shown = await self.state(job_id, service)
            if shown in wanted or time.monotonic() > ends_at:
                return shown
            await asyncio.sleep(0.5)


def rss_mb(pid):
    """Return the resident memory of a process in MB, 0 if it has ended."""
    try:
        with open(f'/proc/{pid}/status') as status:
            for line in status:
                if line.startswith('VmRSS'):
                    return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0


def run(folder, deployment_class, case, limit_s=110):
    """Run a case and exit with its result.

    :param case: coroutine function; takes the deployment and returns the
        breaks of the rule that were seen, as texts.
    """
    record = Record(pathlib.Path(folder) / 'record.txt')

    async def main():
        # Connections that are cut at the end of a case are no failures.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        deployment = deployment_class(record)
        try:
            async with asyncio.timeout(limit_s):
                await deployment.start()
                return await case(deployment)
        finally:
            deployment.close()

    try:
        breaks = asyncio.run(main())
    except Exception as exc:  # noqa: BLE001
        record.write(f'could not run: {exc!r}')
        sys.exit(COULD_NOT_RUN)
    for text in breaks:
        record.write(f'BROKEN {text}')
        sys.stderr.write(f'{text}\n')
    record.write('the rule was broken' if breaks else 'the rule held')
    sys.exit(FAILED if breaks else HELD)
