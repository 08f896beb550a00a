"""A worker on a side machine, as PROTOCOL.md describes it."""

import asyncio
import contextlib
import heapq
import time

import http1

LISTED_ENDS = 500


class Plan:
    """How a task behaves: its work in seconds and the end of each run.

    ``work_s`` None means that it lasts until it is stopped.
    """

    def __init__(self, work_s, how='done'):
        self.work_s = work_s
        self.how = how


class _Run:
    def __init__(self, plan, now):
        self.plan = plan
        self.started = now
        self.stopping = False
        self.pace = 1.0
        self._done_s = 0.0  # work done until the last change of the pace
        self._paced_at = now

    def done_s(self, now):
        return self._done_s + self.pace * (now - self._paced_at)

    def set_pace(self, pace, now):
        self._done_s = self.done_s(now)
        self._paced_at = now
        self.pace = pace

    def ends_at(self, now):
        """Return when its work is done at the present pace, None for never."""
        if self.plan.work_s is None or not self.pace:
            return None
        return now + (self.plan.work_s - self.done_s(now)) / self.pace

    def percent(self, now):
        if self.plan.work_s is None:
            return 100 if now - self.started > 0.3 else 0
        return min(
            99, int(100 * self.done_s(now) / max(0.001, self.plan.work_s))
        )


class Worker:
    """One worker with its present life.

    :param name: ID, which stays over restarts.
    :param service: its service.
    :param address: ``IP:PORT`` at which its machine calls it.
    :param control: ``IP:PORT`` of its machine that gets its heartbeats.
    :param plan_of: returns the plan of a task, given its name.
    :param log: called with each thing that happens.
    """

    def __init__(self, name, service, address, control, plan_of, log, **extra):
        self.name = name
        self.service = service
        self.address = address
        self.control = control
        self.plan_of = plan_of
        self.log = log
        self.zone = extra.get('zone', 'midlands-lei')
        self.cpu = extra.get('cpu', 16000)
        self.mem_mb = extra.get('mem_mb', 64000)
        self.labels = extra.get('labels', ['a', 'r1-1'])
        self.max_hold_ms = extra.get('max_hold_ms', 10000)
        self.stop_ms = extra.get('stop_ms', 400)
        self.beat_s = extra.get('beat_s', 1.5)
        self.unhealthy = False  # answers orders with 503, which do nothing
        self.down = False  # nothing answers
        self.load_of = lambda _: 0  # last entry of a row of ``running``
        self.server = None
        self.beat_now = asyncio.Event()
        self.begin_life()

    def begin_life(self):
        """Start anew under the same ID; nothing of before is known."""
        self.born = int(time.time() * 1000)
        self.began = time.monotonic()
        self.seq = 0
        self.fence = 0
        self.lease_ms = 0
        self.runs = {}  # (task, run) -> _Run
        self.due = []  # heap of (time, task, run, how)
        self.ends = []  # rows of ends that are not acknowledged
        self.end_count = 0
        self.highest = {}  # task -> highest run that ended or was stopped
        self.wake = asyncio.Event()

    def clock_ms(self):
        return int((time.monotonic() - self.began) * 1000) + 1000

    # Work

    def advance(self):
        """End the runs whose time has come."""
        now = time.monotonic()
        if self.runs and self.clock_ms() > self.lease_ms:
            for key in list(self.runs):
                self._end(key, 'lapsed')
        while self.due and self.due[0][0] <= now:
            _, task, run, how = heapq.heappop(self.due)
            item = self.runs.get((task, run))
            if item is None:
                continue
            if how != 'stopped':
                ends_at = item.ends_at(now)  # the pace may have changed
                if ends_at is None or ends_at > now + 0.001:
                    continue
            self._end((task, run), how)

    def _end(self, key, how):
        task, run = key
        del self.runs[key]
        self.end_count += 1
        self.highest[task] = max(self.highest.get(task, 0), run)
        self.ends.append([self.end_count, task, run, how, ''])
        self.log('end', worker=self.name, task=task, run=run, how=how)
        self.wake.set()
        self.wake = asyncio.Event()

    async def run(self):
        """Serve calls, send heartbeats and work until cancelled."""
        host, _, port = self.address.rpartition(':')
        self.server = await http1.serve(self.handle, host, int(port))
        beats = asyncio.create_task(self._beat())
        try:
            while True:
                if not self.down:
                    self.advance()
                await asyncio.sleep(0.01)
        finally:
            beats.cancel()

    async def crash(self):
        """End at once: connections break, and nothing listens any more."""
        self.down = True
        for task, run in self.runs:
            self.log('lost', worker=self.name, task=task, run=run)
        self.runs = {}
        self.server.close()
        for writer in list(self.server.writers):
            writer.transport.abort()

    async def restart(self):
        """Start again under the same ID."""
        self.begin_life()
        host, _, port = self.address.rpartition(':')
        self.server = await http1.serve(self.handle, host, int(port))
        self.down = False
        self.beat_now.set()

    async def _beat(self):
        while True:
            self.beat_now = asyncio.Event()
            if not self.down:
                self.seq += 1
                await http1.call(
                    'POST',
                    self.control,
                    f'/Instances.Heartbeat/{self.name}',
                    self.announcement(),
                    timeout_s=1.0,
                )
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.beat_now.wait(), self.beat_s)

    def announcement(self):
        return {
            'service': self.service,
            'addr': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'coldLeftMs': 0,
            'capacity': {'cpu': self.cpu, 'memMb': self.mem_mb, 'gpu': 0},
            'labels': self.labels,
            'clockMs': self.clock_ms(),
            'seq': self.seq,
            'born': self.born,
        }

    # Calls

    async def handle(self, req):
        if self.down:
            return None
        if req.headers.get('target-instance', self.name) != self.name:
            return 421, {'clockMs': self.clock_ms()}
        self.advance()
        match req.path:
            case '/hold':
                return await self.hold(req.json())
            case '/run-start':
                return self.start(req.json())
            case '/run-stop':
                return self.stop(req.json())
            case '/pace':
                return self.pace(req.json())
        return 404, {}

    def _refuse(self, reason):
        return 409, {'clockMs': self.clock_ms(), 'reason': reason}

    def _take_fence(self, body):
        token = body.get('fencingToken', 0)
        if token < self.fence:
            return False
        self.fence = token
        return True

    def _extend(self, deadline_ms):
        longest = self.clock_ms() + self.max_hold_ms
        self.lease_ms = max(self.lease_ms, min(deadline_ms, longest))

    async def hold(self, body):
        if not self._take_fence(body):
            return self._refuse('fence')
        self._extend(body.get('deadlineMs', 0))
        cursor = body.get('ackCursor', 0)
        for row in self.ends:
            if row[0] <= cursor:
                self.log('noted', worker=self.name, task=row[1], run=row[2])
        self.ends = [row for row in self.ends if row[0] > cursor]
        wait_s = min(2000, body.get('waitMs', 0)) / 1000
        if wait_s and not self.ends:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.wake.wait(), wait_s)
        if self.down:
            return None
        self.advance()
        now = time.monotonic()
        return 200, {
            'clockMs': self.clock_ms(),
            'born': self.born,
            'running': [
                [task, run, '', item.percent(now), self.load_of(task)]
                for (task, run), item in self.runs.items()
            ],
            'ended': self.ends[:LISTED_ENDS],
        }

    def start(self, body):
        task, run = body['task'], body['run']
        if self.unhealthy:
            self.log('rejected', worker=self.name, task=task, run=run)
            return 503, {'clockMs': self.clock_ms()}
        if not self._take_fence(body):
            return self._refuse('fence')
        if (task, run) in self.runs:
            return 200, {'clockMs': self.clock_ms()}
        if run <= self.highest.get(task, 0):
            self._extend(body['deadlineMs'])
            return self._refuse('old')
        if self.clock_ms() > body['deadlineMs']:
            return self._refuse('late')
        self._extend(body['deadlineMs'])
        now = time.monotonic()
        plan = self.plan_of(task)
        self.runs[task, run] = _Run(plan, now)
        self._schedule((task, run), now)
        self.log('start', worker=self.name, task=task, run=run)
        return 200, {'clockMs': self.clock_ms()}

    def _schedule(self, key, now):
        item = self.runs[key]
        ends_at = item.ends_at(now)
        if ends_at is not None:
            heapq.heappush(self.due, (ends_at, *key, item.plan.how))

    def pace(self, body):
        if not self._take_fence(body):
            return self._refuse('fence')
        key = (body['task'], body['run'])
        if key in self.runs:
            now = time.monotonic()
            self.runs[key].set_pace(body['percent'] / 100, now)
            self._schedule(key, now)
        self.log(
            'pace', worker=self.name, task=key[0], percent=body['percent']
        )
        return 200, {'clockMs': self.clock_ms()}

    def stop(self, body):
        task, run = body['task'], body['run']
        if not self._take_fence(body):
            return self._refuse('fence')
        self.log('stop', worker=self.name, task=task, run=run)
        item = self.runs.get((task, run))
        if item is None:
            self.highest[task] = max(self.highest.get(task, 0), run)
        elif not item.stopping:
            item.stopping = True
            ends_at = time.monotonic() + self.stop_ms / 1000
            heapq.heappush(self.due, (ends_at, task, run, 'stopped'))
        return 200, {'clockMs': self.clock_ms()}
