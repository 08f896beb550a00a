"""Fakes of the store, shards and peers, to run entries in one process."""

import collections
import dataclasses

import trio

from citronrail import errors
from citronrail import language
from citronrail.model import messages
from citronrail.model import ranges
from citronrail.model import resources
from citronrail.model import rows
from citronrail.model import settings as settings_model
from citronrail.model import views
from citronrail import ports

SIZE = resources.Resources(16_000, 60_000, 2)
WALL = 1_800_000_000.0


class FakeStore:
    """Settings store with compare-and-swap; ``fault`` makes writes fail."""

    def __init__(self):
        self.settings = settings_model.Settings()
        self.writes = 0
        self.fault = None
        self.delay_s = 0.0

    async def apply(
        self,
        command_id,
        change,
        message,
        expected_version=None,
        *,
        deadline,
    ):
        """Apply a command once, like the settings writer."""
        while True:
            await trio.lowlevel.checkpoint()
            for applied in self.settings.recent_commands:
                if applied.command_id == command_id:
                    return applied
            if self.fault == 'unavailable':
                raise errors.StoreUnavailable('store is down', step='test')
            read = self.settings
            new = change(read)
            await trio.sleep(self.delay_s)
            if read.version != self.settings.version:
                raise errors.CommandConflict('lost', step='test')
            applied = settings_model.AppliedCommand(
                command_id, read.version + 1, message
            )
            self.settings = dataclasses.replace(
                new,
                version=read.version + 1,
                recent_commands=(*read.recent_commands, applied),
            )
            self.writes += 1
            if self.fault == 'lost':
                raise errors.StoreOutcomeUnknown('lost', step='test')
            return applied


class FakeShards:
    """Job shards in shared documents that survive their owner."""

    def __init__(self, documents, owner, network):
        self._documents = documents
        self._owner = owner
        self._network = network
        self.submissions = []
        self.delay_s = 0.0

    def _owned(self):
        return self._network.owned_by(self._owner)

    async def submit(self, spec, command_id):
        """Accept a job once per command id."""
        await trio.sleep(self.delay_s)
        range_id = ranges.range_of(spec.job_id)
        if range_id not in self._owned():
            raise errors.Fenced('not the owner', step='test')
        jobs, results = self._documents[range_id]
        if command_id in results:
            return results[command_id]
        if spec.job_id in jobs:
            raise errors.CommandRefused('job exists already', step='test')
        self.submissions.append(command_id)
        jobs[spec.job_id] = rows.JobRow(
            spec.job_id,
            spec.team,
            spec.work_class,
            'pending',
            tasks=spec.task_count,
        )
        results[command_id] = f'job {spec.job_id} accepted'
        return results[command_id]

    async def cancel(self, kind, predicate, command_id):
        """Cancel pending rows that match, once per command id and shard."""
        await trio.sleep(self.delay_s)
        total = 0
        assert predicate.fields
        for range_id in self._owned():
            jobs, results = self._documents[range_id]
            if command_id not in results:
                hit = [
                    row
                    for row in self._rows_of(kind, jobs)
                    if predicate(row) and row.state == 'pending'
                ]
                for row in hit:
                    jobs[row.job] = dataclasses.replace(
                        jobs[row.job], state='cancelled'
                    )
                results[command_id] = len(hit)
            total += results[command_id]
        return language.CancelOutcome(total)

    def owned_ranges(self):
        """Return the ranges of the owner."""
        return self._owned()

    def rows(self, kind):
        """Return the rows of the owned shards."""
        return tuple(
            row
            for range_id in self._owned()
            for row in self._rows_of(kind, self._documents[range_id][0])
        )

    @staticmethod
    def _rows_of(kind, jobs):
        if kind == 'jobs':
            return list(jobs.values())
        return [
            rows.TaskRow(
                f'{job.job}/{number}',
                job.job,
                job.team,
                job.work_class,
                job.state,
            )
            for job in jobs.values()
            for number in range(job.tasks)
        ]


class FakeHub:
    """Connections of one entry to the other entries."""

    def __init__(self, network, node_id):
        self._network = network
        self.node_id = node_id
        self.boot_id = f'{node_id}-boot'
        self.handlers = {}
        self.queue, self._incoming = trio.open_memory_channel(1000)

    def subscribe(self, kind, handler):
        """Register a handler."""
        self.handlers[kind] = handler

    async def send(self, peer, message, payload=None):
        """Deliver a message unless the connection is cut or loses it."""
        await trio.lowlevel.checkpoint()
        if self._network.is_cut(self.node_id, peer):
            raise errors.PeerUnreachable('cut', step='test', peer=peer)
        if (self.node_id, type(message)) in self._network.lost:
            return
        data = messages.pack(message)
        self._network.hubs[peer].queue.send_nowait(
            (self.node_id, data, payload or b'')
        )

    def peers(self, role):
        """Return the reachable peers."""
        return tuple(
            ports.Peer(name, f'{name}-boot', role, 'leon')
            for name in self._network.hubs
            if name != self.node_id
            and not self._network.is_cut(self.node_id, name)
        )

    def to_peer_clock(self, peer, deadline):
        """Return the deadline unchanged; all entries share one clock."""
        if self._network.is_cut(self.node_id, peer):
            raise errors.PeerUnreachable('cut', step='test', peer=peer)
        return deadline

    async def run(self):
        """Process messages in order of arrival."""
        async for sender, data, payload in self._incoming:
            message = messages.unpack(data)
            peer = ports.Peer(sender, f'{sender}-boot', 'entry', 'leon')
            await self.handlers[type(message)](peer, message, payload)


class FakeViews:
    """State known to an entry; ``stale`` overrides the stored settings."""

    def __init__(self, store, node_id):
        self._store = store
        self._node_id = node_id
        self.stale = None
        self.workers = {'w0': 'leon', 'w1': 'leon', 'w2': 'gijon'}

    @property
    def settings(self):
        """Stale settings if set, else those of the store."""
        return self.stale or self._store.settings

    def agents(self):
        """Return the workers; by default three in two data centres."""
        return tuple(
            views.AgentView(
                name,
                'boot',
                centre,
                'r1',
                SIZE,
                SIZE,
                messages.AgentLoad(),
                (messages.BackendState('seats', 1),),
                heard_at=trio.current_time(),
            )
            for name, centre in self.workers.items()
        )

    def entries(self):
        """Return only this entry."""
        return (
            language.EntryRow(
                self._node_id, 'leon', 'boot', 'ready', '', 0, 0.0
            ),
        )

    def requests(self):
        """Return one request of this entry."""
        return (
            language.RequestRow(
                f'r-{self._node_id}', self._node_id, 'seats', 'running'
            ),
        )


class Network:
    """Entries that share a store; ranges are assigned round-robin."""

    def __init__(self, count=3):
        self.store = FakeStore()
        self.cuts = set()
        self.lost = set()
        self.hubs = {}
        self.names = [f'e{number}' for number in range(count)]
        self.owners = {
            number: self.names[number % count]
            for number in range(ranges.RANGE_COUNT)
        }
        documents = collections.defaultdict(lambda: ({}, {}))
        self.shards = {}
        self.views = {}
        self.services = {}
        for name in self.names:
            self.hubs[name] = FakeHub(self, name)
            self.shards[name] = FakeShards(documents, name, self)
            self.views[name] = FakeViews(self.store, name)
            self.services[name] = language.CommandService(
                self.hubs[name],
                self.store,
                self.shards[name],
                _Directory(self, name),
                self.views[name],
                language.FleetTracker(
                    self.views[name].agents,
                    ('bilbao',),
                    lambda kind, policy: None,
                    lambda: WALL,
                ),
                lambda: WALL,
            )

    def is_cut(self, one, other):
        """Return whether two entries can't reach each other."""
        return one in self.cuts or other in self.cuts

    def owned_by(self, name):
        """Return the ranges owned by an entry."""
        return tuple(
            number for number, owner in self.owners.items() if owner == name
        )

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        """Run all entries."""
        async with trio.open_nursery() as nursery:
            for name in self.names:
                nursery.start_soon(self.hubs[name].run)
                await nursery.start(self.services[name].run)
            task_status.started()

    async def execute(self, entry, command_id, text, timeout_s=10.0):
        """Execute a command at an entry."""
        return await self.services[entry].execute(
            command_id, text, trio.current_time() + timeout_s
        )


class _Directory:
    def __init__(self, network, name):
        self._network = network
        self._name = name

    def owner_of(self, range_id):
        return self._network.owners.get(range_id)
