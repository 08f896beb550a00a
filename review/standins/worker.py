"""Stand-in for a worker of the platform, as PROTOCOL.md tells it.

The spec of a task is JSON and says how it behaves: ``ms`` of work, or
``lasts`` with a ``tail`` in ms, and the ``cpu`` that its step asks for.
SIGTERM makes it drain, leave and end; SIGKILL is a crash.
"""

import asyncio
import json
import signal
import sys
import time

import web

TICK_S = 0.02
START_CLOCK_MS = 1000
GUARD_MS = 500  # it serves a little longer than it has to


class Worker:
    """One incarnation of a worker.

    :param cfg: its settings, see ``harness.Deployment.start_worker``.
    """

    def __init__(self, cfg):
        self.cfg = cfg
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.fence = 0
        self.lease_ms = 0
        self.lapsed = False
        self.runs = {}  # (task, run) -> dict
        self.ends = []  # [N, task, run, how, saved]
        self.end_count = 0
        self.highest = {}  # task -> run
        self.state = 'ready'
        self.drain_ends_at = 0.0
        self.seq = 0
        self.ended = asyncio.Event()
        self.log = open(cfg['events'], 'ab', buffering=0)  # noqa: SIM115

    def note(self, event, **fields):
        """Append an event to the file that all workers share."""
        line = {
            'at': round(time.time(), 3),
            'event': event,
            'worker': self.cfg['id'],
            'born': self.born,
            **fields,
        }
        self.log.write(json.dumps(line).encode() + b'\n')

    def clock_ms(self):
        """Return the time on the worker's own clock."""
        return START_CLOCK_MS + int((time.monotonic() - self.began) * 1000)

    def extend(self, until_ms):
        """Extend the lease, which is never shortened."""
        latest = self.clock_ms() + self.cfg['maxHoldMs']
        self.lease_ms = max(self.lease_ms, min(until_ms, latest))

    def end(self, key, how):
        """End a run and list its end."""
        self.runs.pop(key)
        self.end_count += 1
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        self.ends.append([self.end_count, *key, how, ''])
        self.note('end', task=key[0], run=key[1], how=how)
        self.ended.set()
        self.ended = asyncio.Event()

    def tick(self, elapsed_s):
        """Let the runs work."""
        lapsed = self.clock_ms() > self.lease_ms
        if lapsed and not self.lapsed and self.lease_ms:
            self.note('lease lapsed')
        self.lapsed = lapsed
        now = time.monotonic()
        for key, run in list(self.runs.items()):
            run['done_ms'] += elapsed_s * 1000 * run['pace'] / 100
            if lapsed:
                self.end(key, 'lapsed')
            elif run['stop_at'] and now >= run['stop_at']:
                self.end(key, 'stopped')
            elif not run['spec'].get('lasts') and (
                run['done_ms'] >= run['spec']['ms']
            ):
                self.end(key, 'done')

    def row(self, key):
        """Return the row of a run in the list."""
        run = self.runs[key]
        if run['spec'].get('lasts'):
            ready = run['done_ms'] >= 300
            tail = run['spec'].get('tail', 5)
            return [*key, '', 100 if ready else 30, tail if ready else 0]
        percent = min(99, int(100 * run['done_ms'] / run['spec']['ms']))
        return [*key, '', percent, run['spec'].get('cpu', 100)]

    def refusal(self, reason):
        """Return an answer that refuses a call."""
        return 409, {'clockMs': self.clock_ms(), 'reason': reason}

    async def handle(self, req):
        """Answer one call of the agent."""
        target = req.headers.get('target-instance')
        if target and target != self.cfg['id']:
            return 421, {}
        body = req.json()
        if body.get('fencingToken', 0) < self.fence:
            return self.refusal('fence')
        self.fence = body.get('fencingToken', 0)
        if req.path == '/hold':
            return await self.hold(body)
        key = (body['task'], body['run'])
        if req.path == '/run-start':
            return self.start(key, body)
        if req.path == '/run-stop':
            run = self.runs.get(key)
            if run is None:
                known = self.highest.get(key[0], 0)
                self.highest[key[0]] = max(known, key[1])
            elif not run['stop_at']:
                run['stop_at'] = time.monotonic() + self.cfg['stopMs'] / 2000
        elif req.path == '/pace' and key in self.runs:
            self.runs[key]['pace'] = body['percent']
        return 200, {'clockMs': self.clock_ms()}

    def start(self, key, body):
        """Start a run."""
        if key in self.runs:
            return 200, {'clockMs': self.clock_ms()}
        if self.clock_ms() > body['deadlineMs']:
            return self.refusal('late')
        self.extend(body['deadlineMs'])
        if key[1] <= self.highest.get(key[0], 0):
            return self.refusal('old')
        spec = json.loads(body['spec'])
        self.runs[key] = {
            'spec': spec,
            'done_ms': 0.0,
            'pace': 100,
            'stop_at': 0.0,
        }
        used = sum(run['spec'].get('cpu', 0) for run in self.runs.values())
        self.note(
            'start',
            task=key[0],
            run=key[1],
            used=used,
            capacity=self.cfg['cpu'],
            labels=self.cfg['labels'],
        )
        return 200, {'clockMs': self.clock_ms()}

    async def hold(self, body):
        """Extend the lease, forget ends and list the runs."""
        if body.get('deadlineMs'):
            self.extend(body['deadlineMs'])
        for end in self.ends:
            if end[0] <= body.get('ackCursor', 0):
                self.note('noted', task=end[1], run=end[2], how=end[3])
        self.ends = [
            end for end in self.ends if end[0] > body.get('ackCursor', 0)
        ]
        until = time.monotonic() + min(2000, body.get('waitMs', 0)) / 1000
        while not self.ends and time.monotonic() < until:
            left_s = until - time.monotonic()
            try:
                await asyncio.wait_for(self.ended.wait(), left_s)
            except TimeoutError:
                break
        return 200, {
            'clockMs': self.clock_ms(),
            'born': self.born,
            'running': [self.row(key) for key in self.runs],
            'ended': self.ends[:500],
        }

    async def beat(self):
        """Send one heartbeat; return whether it was acknowledged."""
        self.seq += 1
        body = {
            'service': self.cfg['service'],
            'addr': self.cfg['app'],
            'zone': self.cfg['zone'],
            'version': 'v1',
            'slots': 8,
            'state': self.state,
            'coldLeftMs': 0,
            'capacity': {
                'cpu': self.cfg['cpu'],
                'memMb': self.cfg['memMb'],
                'gpu': 0,
            },
            'labels': self.cfg['labels'],
            'clockMs': self.clock_ms(),
            'seq': self.seq,
            'born': self.born,
        }
        if self.state == 'draining':
            left_s = max(0.0, self.drain_ends_at - time.monotonic())
            body['drainRemainingMs'] = int(left_s * 1000)
        path = '/Instances.Heartbeat/' + self.cfg['id']
        status, _ = await web.call(
            self.cfg['control'], 'POST', path, body, timeout_s=1.0
        )
        return 200 <= status < 300

    async def beats(self):
        """Send heartbeats; the first one after the worker can serve."""
        await asyncio.sleep(self.cfg['firstBeatMs'] / 1000)
        self.note('first heartbeat')
        while True:
            await self.beat()
            await asyncio.sleep(self.cfg['heartbeatIntervalMs'] / 1000)

    async def leave(self):
        """Announce the end, serve for the drain time, and end."""
        self.state = 'draining'
        drain_s = self.cfg['drainMs'] / 1000
        self.drain_ends_at = time.monotonic() + drain_s
        self.note('draining')
        for _ in range(3):
            if await self.beat():
                break
        await asyncio.sleep(drain_s + GUARD_MS / 1000)
        path = '/Instances.Deregister/' + self.cfg['id']
        await web.call(self.cfg['control'], 'POST', path, timeout_s=1.0)
        for key in list(self.runs):
            self.note('end', task=key[0], run=key[1], how='left')
        self.note('left')

    async def run(self):
        """Serve until the worker has left."""
        stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, stopping.set)
        host, port = self.cfg['app'].rsplit(':', 1)
        await web.Server(self.handle).start(host, int(port))
        self.note('up', capacity=self.cfg['cpu'], labels=self.cfg['labels'])
        beats = asyncio.ensure_future(self.beats())
        leaving = None
        last = time.monotonic()
        while leaving is None or not leaving.done():
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            self.tick(now - last)
            last = now
            if stopping.is_set() and leaving is None:
                leaving = asyncio.ensure_future(self.leave())
        beats.cancel()


if __name__ == '__main__':
    asyncio.run(Worker(json.loads(sys.argv[1])).run())
