"""A running fleet, the failures to bring about and the records to read."""

import collections
import json
import random
import time
import typing

import httpx
import trio

from citronrail.model import resources
from drills import _callers
from drills import _history
from drills import _records
from standins import fleet
from standins import operator_client
from standins import processes
from standins import task_history

ANNOUNCE_TIMEOUT_S = 40.0
TEAM = 'sangat'
SERVICE = 'seats'
REPLICAS_PER_HOST = 3  # placement doesn't promise one on each host
FLOW_INTERVAL_S = 0.8
SETTLE_S = 1.0  # workers write their history each 0.1 s


class World:
    """One fleet under failure.

    :param system: the fleet.
    :param client: HTTP client.
    :param rng: source of chance.
    """

    def __init__(
        self,
        system: fleet.Fleet,
        client: httpx.AsyncClient,
        rng: random.Random,
    ) -> None:
        self.system = system
        self.client = client
        self.rng = rng
        self.operator = operator_client.OperatorClient(
            client, tuple(e.operators_url for e in system.entries)
        )
        self.callers = _callers.Callers(client, system.entries)
        self.sizes: dict[str, resources.Resources] = {}
        self.deaths: dict[str, tuple[float, ...]] = {}
        self._frozen: set[str] = set()
        self._down: set[str] = set()

    @property
    def capacity(self) -> resources.Resources:
        """Capacity of each worker."""
        plan = self.system.plan
        return resources.Resources(
            plan.millicores, plan.memory_mb, plan.accelerators
        )

    async def set_up(self) -> None:
        """Start the fleet, a team and a service with replicas."""
        plan = self.system.plan
        await self.system.start(self.client)
        await self._all_joined()
        cores = plan.millicores // 1000 * plan.workers
        memory = plan.memory_mb * plan.workers
        await self.operator.do(
            f'change team {TEAM} quota cores {cores} memory {memory}MB',
            timeout_s=30.0,
        )
        await self.operator.do(
            f'start service {SERVICE} team {TEAM} class quick replicas'
            f' {REPLICAS_PER_HOST * plan.workers} cores 0.1 memory 100MB'
        )
        self.sizes[f'service:{SERVICE}'] = resources.Resources(100, 100, 0)
        await self.announced(min(2, plan.workers))
        await trio.sleep(SETTLE_S)

    async def _all_joined(self) -> None:
        """Wait until every entry knows every agent.

        Replicas placed earlier would all go to the agents known by then.
        """

        async def joined() -> bool:
            for entry in self.system.entries:
                reply = await self.operator.send(
                    'show workers', url=entry.operators_url
                )
                if len(reply.rows) < self.system.plan.workers:
                    return False
            return True

        await processes.wait_for(
            joined, 'all agents joined', ANNOUNCE_TIMEOUT_S, 0.2
        )
        await trio.sleep(2.0)  # two heartbeats: agents are ready for work

    async def announced(self, hosts: int) -> None:
        """Wait until so many backend servers answer a caller's request."""

        async def enough() -> bool:
            rows = await self.operator.rows('show backend servers')
            return sum(not row['leaving'] for row in rows) >= hosts

        await processes.wait_for(
            enough, 'backend servers announced', ANNOUNCE_TIMEOUT_S, 0.2
        )

    # Work

    async def start_job(
        self,
        job: str,
        tasks: int,
        run_s: float,
        *,
        millicores: int = 1000,
        memory_mb: int = 500,
        options: str = '',
        size_factor: float = 1.0,
        url: str = '',
    ) -> operator_client.Reply:
        """Submit a job; its tasks report what they ran to the workers."""
        wish = {'run_s': run_s, 'size_factor': size_factor}
        argument = json.dumps(wish).replace('"', '\\"')
        self.sizes[job] = resources.Resources(millicores, memory_mb, 0)
        return await self.operator.send(
            f'start job {job} team {TEAM} class {job.split("-")[1]}'
            f' tasks {tasks} cores {millicores / 1000:g}'
            f' memory {memory_mb}MB run time {max(1, round(run_s))}s'
            f' {options} argument "{argument}"',
            timeout_s=20.0,
            url=url,
        )

    async def keep_starting(
        self, prefix: str, tasks: int, run_s: float, stop: trio.Event
    ) -> None:
        """Submit short jobs at intervals until told to stop.

        Each is sent on its own, as its owner may be down for seconds.
        """
        number = 0
        async with trio.open_nursery() as nursery:
            while not stop.is_set():
                number += 1
                job = f'{prefix}-flow-{number}'
                nursery.start_soon(self.start_job, job, tasks, run_s)
                with trio.move_on_after(FLOW_INTERVAL_S):
                    await stop.wait()
            nursery.cancel_scope.cancel()

    async def finished(
        self, wanted: typing.Mapping[str, int], timeout_s: float
    ) -> bool:
        """Wait until workers finished every task of the jobs.

        :returns: False if some did not finish in time.
        """

        async def whole() -> bool:
            lost, _ = _history.not_finished_once(self.runs(), wanted)
            return lost == 0

        try:
            await processes.wait_for(whole, 'jobs finished', timeout_s, 0.3)
        except TimeoutError:
            return False
        return True

    # Records

    def runs(self, prefix: str = '') -> tuple[task_history.Run, ...]:
        """Return what workers ran, of jobs whose name has a prefix."""
        runs = tuple(
            run
            for host in self.system.hosts
            for run in task_history.read_runs(
                self.system.history_file(host), host.worker, host.data_centre
            )
            if run.owner.startswith(prefix)
        )
        return _history.end_at_death(runs, self.deaths)

    async def backend_runs(
        self, prefix: str = ''
    ) -> tuple[_records.BackendRun, ...]:
        """Return what backend servers ran, of keys with a prefix."""
        found = []
        for host in self.system.hosts:
            answer = await self.client.get(f'{host.backend_url}/admin/history')
            found.extend(
                _records.BackendRun(
                    host.name,
                    run['key'],
                    run['started'],
                    run['ended'] or float('inf'),
                )
                for run in answer.json()['runs']
                if run['key'].startswith(prefix)
            )
        return tuple(found)

    # Failures

    def kill(self, name: str) -> None:
        """End a process at once, if it runs."""
        if not self.system.group[name].running:
            return
        self.system.group.kill(name)
        self._down.add(name)
        if name.startswith('worker-'):
            times = self.deaths.get(name, ())
            self.deaths[name] = (*times, time.monotonic())

    def revive(self, name: str) -> None:
        """Start a killed process again, unless it runs already."""
        self._down.discard(name)
        if not self.system.group[name].running:
            self.system.group.restart(name)

    async def kill_and_restart(self, name: str, down_s: float) -> None:
        """Kill a process and start it again after a time."""
        self.kill(name)
        await trio.sleep(down_s)
        self.revive(name)

    async def freeze(self, name: str, seconds: float) -> None:
        """Stop a process from running for a time."""
        self.system.group.freeze(name)
        self._frozen.add(name)
        try:
            await trio.sleep(seconds)
        finally:
            self.system.group.thaw(name)
            self._frozen.discard(name)

    async def store(self, **switches: typing.Any) -> None:
        """Change the fault switches of the key-value store."""
        await self.client.post(
            f'{self.system.store_url}/admin/faults', json=switches
        )

    async def store_event(self, name: str) -> None:
        """Bring about ``lapse-leases`` or ``drop-watches`` at the store."""
        await self.client.post(f'{self.system.store_url}/admin/{name}')

    async def outage(self, seconds: float) -> None:
        """Take the store down for a time."""
        await self.store(outage=True)
        try:
            await trio.sleep(seconds)
        finally:
            with trio.CancelScope(shield=True):
                await self.store(outage=False)

    async def heal(self) -> None:
        """End all failures and wait until everything is ready again."""
        for name in tuple(self._frozen):
            self.system.group.thaw(name)
        self._frozen.clear()
        for name in sorted(self._down):
            self.revive(name)
        await self.store(
            outage=False,
            hang=False,
            delay_s=0.0,
            lose_answers=0,
            lose_every=0,
            stale_by=0,
        )
        await self.ready()

    async def ready(self) -> None:
        """Wait until every entry and agent is ready."""
        await self.system.ready(self.client)


def counts(calls: typing.Iterable[_records.Call]) -> str:
    """Return a short account of how calls ended."""
    kinds = collections.Counter(
        call.outcome or call.answer.value
        if call.answer is _records.Answer.PROBLEM
        else call.answer.value
        for call in calls
    )
    return ', '.join(f'{n} {kind}' for kind, n in sorted(kinds.items()))
