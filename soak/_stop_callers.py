"""Callers that go on using their connections while entries stop."""

import collections
import contextlib
import dataclasses
import random

import msgspec
import trio

from soak import _deployment

# A request that was sent less than this before its connection ended may not
# have been read, and isn't counted as lost.
SLACK_S = 0.2
DEADLINE_S = 3.0
PROBE_INTERVAL_S = 1.0
MAX_MISSED_PROBES = 2
MAX_PAUSE_S = 0.3
KINDS = ('kept alive', 'pipelined', 'slow body', 'new connection')


@dataclasses.dataclass(frozen=True)
class Lost:
    """A request that was sent whole and got no complete answer."""

    kind: str
    method: str
    entry: str
    sent_at: float
    ended_at: float
    why: str

    def __str__(self) -> str:
        after_s = self.ended_at - self.sent_at
        return (
            f'{self.method} ({self.kind}) at {self.entry}, sent at '
            f'{self.sent_at:.2f}: {self.why} after {after_s:.2f} s'
        )


class Balancer:
    """Chooses entries for new connections as the load balancer does.

    :param system: deployment under test.
    :param rng: random number generator.
    """

    def __init__(
        self, system: _deployment.Deployment, rng: random.Random
    ) -> None:
        self._system = system
        self._rng = rng
        self._missed: collections.Counter[str] = collections.Counter()

    async def run(self) -> None:
        """Probe all entries once a second until cancelled."""
        while True:
            async with trio.open_nursery() as nursery:
                for node in self._system.entries:
                    nursery.start_soon(self._probe, node)
                await trio.sleep(PROBE_INTERVAL_S)

    async def _probe(self, node: _deployment.Node) -> None:
        answer = b''
        with trio.move_on_after(PROBE_INTERVAL_S):
            with contextlib.suppress(OSError, trio.BrokenResourceError):
                port = _deployment.READY_PORT
                async with await trio.open_tcp_stream(node.ip, port) as stream:
                    await stream.send_all(
                        b'GET /ready HTTP/1.1\r\nHost: h\r\n\r\n'
                    )
                    answer = await stream.receive_some(100)
        if answer.startswith(b'HTTP/1.1 200'):
            self._missed[node.name] = 0
        else:
            self._missed[node.name] += 1

    def in_rotation(self) -> list[_deployment.Node]:
        """Return the entries that receive new connections."""
        entries = self._system.entries
        ready = [
            node
            for node in entries
            if self._missed[node.name] < MAX_MISSED_PROBES
        ]
        return ready if 2 * len(ready) >= len(entries) else entries

    def choose(self) -> _deployment.Node:
        """Return an entry for a new connection."""
        return self._rng.choice(self.in_rotation())


@dataclasses.dataclass
class Tally:
    """What became of the requests of all callers."""

    statuses: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    lost: list[Lost] = dataclasses.field(default_factory=list)
    # Sent within SLACK_S of the end of the connection.
    raced: int = 0
    # Not answered when the caller gave up; the pages allow that to an entry
    # that is short of processor time or of the store.
    late: int = 0


class Caller:
    """Sends requests one after another until cancelled.

    :param system: deployment under test.
    :param balancer: chooses the entry of a new connection.
    :param tally: takes the results.
    :param kind: one of ``KINDS``.
    :param rng: random number generator.
    """

    def __init__(
        self,
        system: _deployment.Deployment,
        balancer: Balancer,
        tally: Tally,
        kind: str,
        rng: random.Random,
    ) -> None:
        self._system = system
        self._balancer = balancer
        self._tally = tally
        self._kind = kind
        self._rng = rng
        self._jobs: list[str] = []

    async def run(self, stop: trio.Event) -> None:
        """Open one connection after another until ``stop`` is set."""
        while not stop.is_set():
            node = self._balancer.choose()
            try:
                with trio.fail_after(1.0):
                    stream = await trio.open_tcp_stream(
                        node.ip, _deployment.CALLERS_PORT
                    )
            except (OSError, trio.TooSlowError):
                await trio.sleep(0.1)
                continue
            async with stream:
                await self._use(node, stream, stop)

    async def _use(
        self,
        node: _deployment.Node,
        stream: trio.SocketStream,
        stop: trio.Event,
    ) -> None:
        usable = True
        while usable and not stop.is_set():
            batch = [self._request()]
            if self._kind == 'pipelined':
                batch.append(self._request())
            usable = await self._exchange(node, stream, batch)
            if self._kind == 'new connection':
                return
            await trio.sleep(self._rng.uniform(0.0, MAX_PAUSE_S))

    def _request(self) -> tuple[str, bytes]:
        known = bool(self._jobs) and self._kind != 'slow body'
        method = self._rng.choice(['GET', 'POST']) if known else 'POST'
        body = b''
        if method == 'POST':
            job_id = f'{self._rng.getrandbits(64):016x}'
            self._jobs.append(job_id)
            step = {'count': 1, 'cpu': 10, 'memMb': 1, 'estimateMs': 100}
            body = msgspec.json.encode({'spec': 's', 'steps': [step]})
        else:
            job_id = self._rng.choice(self._jobs)
        head = (
            f'{method} {_deployment.JOBS_PATH_PREFIX}{job_id} HTTP/1.1\r\n'
            f'Host: {_deployment.HOST_NAME}\r\n'
            f'Deadline-Ms: {DEADLINE_S * 1000:.0f}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        return method, head.encode() + body

    async def _exchange(
        self,
        node: _deployment.Node,
        stream: trio.SocketStream,
        batch: list[tuple[str, bytes]],
    ) -> bool:
        """Send requests and read their answers; False at the end."""
        data = b''.join(request for _, request in batch)
        try:
            if self._kind == 'slow body':
                cut = len(data) - 20
                for part in (data[:cut], data[cut : cut + 10]):
                    await stream.send_all(part)
                    await trio.sleep(self._rng.uniform(0.0, 0.8))
                data = data[cut + 10 :]
            await stream.send_all(data)
        except trio.BrokenResourceError:
            return False  # not sent whole
        sent_at = trio.current_time()
        received, closes, why = b'', False, ''
        waiting = list(batch)
        with trio.move_on_after(DEADLINE_S):
            while waiting:
                status, received, closes = _split(received, closes)
                if status:
                    self._tally.statuses[status] += 1
                    waiting.pop(0)
                    continue
                try:
                    chunk = await stream.receive_some(65536)
                except trio.BrokenResourceError:
                    chunk, why = b'', 'reset of the connection'
                if not chunk:
                    why = why or 'end of the connection'
                    break
                received += chunk
            else:
                return not closes
        ended_at = trio.current_time()
        if not why:
            self._tally.late += len(waiting)
            return False
        if ended_at - sent_at <= SLACK_S:
            self._tally.raced += len(waiting)
            return False
        self._tally.lost += [
            Lost(self._kind, method, node.name, sent_at, ended_at, why)
            for method, _ in waiting
        ]
        return False


def _split(data: bytes, closes: bool) -> tuple[int, bytes, bool]:
    """Return the status of a complete first response and what follows it."""
    head, separator, rest = data.partition(b'\r\n\r\n')
    if not separator:
        return 0, data, closes
    fields = {}
    for line in head.split(b'\r\n')[1:]:
        name, _, value = line.partition(b':')
        fields[name.strip().lower()] = value.strip().lower()
    size = int(fields[b'content-length'])
    if len(rest) < size:
        return 0, data, closes
    closes = fields.get(b'connection') == b'close'
    return int(head.split()[1]), rest[size:], closes
