"""A running fleet with failure injection and access to its records."""

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
REPLICAS_PER_HOST = 3  # placement doesn't guarantee one on each host
JOB_INTERVAL_S = 0.8
HISTORY_FLUSH_S = 1.0  # workers write their history every 0.1 s


class Environment:
    """A fleet, its callers and the failures injected into it.

    :param system: the fleet.
    :param client: HTTP client.
    :param rng: random number generator.
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
        self.declared_resources: dict[str, resources.Resources] = {}
        self.kill_times: dict[str, tuple[float, ...]] = {}
        self._frozen: set[str] = set()
        self._killed: set[str] = set()

    @property
    def capacity(self) -> resources.Resources:
        """Capacity of each worker."""
        plan = self.system.plan
        return resources.Resources(
            plan.millicores, plan.memory_mb, plan.accelerators
        )

    async def set_up(self) -> None:
        """Start the fleet, create a team and start a replicated service."""
        plan = self.system.plan
        await self.system.start(self.client)
        await self._wait_until_joined()
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
        self.declared_resources[f'service:{SERVICE}'] = resources.Resources(
            100, 100, 0
        )
        await self.wait_until_announced(min(2, plan.workers))
        await trio.sleep(HISTORY_FLUSH_S)

    async def _wait_until_joined(self) -> None:
        """Wait until every entry knows every agent.

        Replicas placed earlier would all go to the agents known at that time.
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
        await trio.sleep(2.0)  # two heartbeats, after which agents accept work

    async def wait_until_announced(self, hosts: int) -> None:
        """Wait until this number of backend servers is announced."""

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
        """Submit a job of simulated tasks."""
        behaviour = {'run_s': run_s, 'size_factor': size_factor}
        argument = json.dumps(behaviour).replace('"', '\\"')
        self.declared_resources[job] = resources.Resources(
            millicores, memory_mb, 0
        )
        return await self.operator.send(
            f'start job {job} team {TEAM} class {job.split("-")[1]}'
            f' tasks {tasks} cores {millicores / 1000:g}'
            f' memory {memory_mb}MB run time {max(1, round(run_s))}s'
            f' {options} argument "{argument}"',
            timeout_s=20.0,
            url=url,
        )

    async def start_jobs_periodically(
        self, prefix: str, tasks: int, run_s: float, stop: trio.Event
    ) -> None:
        """Submit short jobs at intervals until ``stop`` is set.

        Each is submitted concurrently, as its owner may be down for seconds.
        """
        number = 0
        async with trio.open_nursery() as nursery:
            while not stop.is_set():
                number += 1
                job = f'{prefix}-flow-{number}'
                nursery.start_soon(self.start_job, job, tasks, run_s)
                with trio.move_on_after(JOB_INTERVAL_S):
                    await stop.wait()
            nursery.cancel_scope.cancel()

    async def wait_until_finished(
        self, expected: typing.Mapping[str, int], timeout_s: float
    ) -> bool:
        """Wait until workers have finished every task of the jobs.

        :returns: False if some did not finish in time.
        """

        async def all_finished() -> bool:
            lost, _ = _history.count_lost_and_duplicated(self.runs(), expected)
            return lost == 0

        try:
            await processes.wait_for(
                all_finished, 'jobs finished', timeout_s, 0.3
            )
        except TimeoutError:
            return False
        return True

    # Records

    def runs(self, prefix: str = '') -> tuple[task_history.Run, ...]:
        """Return the runs on workers of jobs whose name has a prefix."""
        runs = tuple(
            run
            for host in self.system.hosts
            for run in task_history.read_runs(
                self.system.history_file(host), host.worker, host.data_centre
            )
            if run.owner.startswith(prefix)
        )
        return _history.end_runs_at_kill(runs, self.kill_times)

    async def backend_runs(
        self, prefix: str = ''
    ) -> tuple[_records.BackendRun, ...]:
        """Return the runs on backend servers of keys with a prefix."""
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
        """Kill a process if it is running."""
        if not self.system.group[name].running:
            return
        self.system.group.kill(name)
        self._killed.add(name)
        if name.startswith('worker-'):
            times = self.kill_times.get(name, ())
            self.kill_times[name] = (*times, time.monotonic())

    def restart_killed(self, name: str) -> None:
        """Restart a killed process unless it is already running."""
        self._killed.discard(name)
        if not self.system.group[name].running:
            self.system.group.restart(name)

    async def kill_and_restart(self, name: str, down_s: float) -> None:
        """Kill a process and restart it after a delay."""
        self.kill(name)
        await trio.sleep(down_s)
        self.restart_killed(name)

    async def freeze(self, name: str, seconds: float) -> None:
        """Suspend a process for a number of seconds."""
        self.system.group.freeze(name)
        self._frozen.add(name)
        try:
            await trio.sleep(seconds)
        finally:
            self.system.group.thaw(name)
            self._frozen.discard(name)

    async def set_store_faults(self, **switches: typing.Any) -> None:
        """Change the fault switches of the key-value store."""
        await self.client.post(
            f'{self.system.store_url}/admin/faults', json=switches
        )

    async def trigger_store_event(self, name: str) -> None:
        """Trigger ``lapse-leases`` or ``drop-watches`` at the store."""
        await self.client.post(f'{self.system.store_url}/admin/{name}')

    async def outage(self, seconds: float) -> None:
        """Make the store unavailable for a number of seconds."""
        await self.set_store_faults(outage=True)
        try:
            await trio.sleep(seconds)
        finally:
            with trio.CancelScope(shield=True):
                await self.set_store_faults(outage=False)

    async def clear_failures(self) -> None:
        """Clear all failures and wait until all processes are ready."""
        for name in tuple(self._frozen):
            self.system.group.thaw(name)
        self._frozen.clear()
        for name in sorted(self._killed):
            self.restart_killed(name)
        await self.set_store_faults(
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


def summarize(calls: typing.Iterable[_records.Call]) -> str:
    """Return a summary of the outcomes of calls."""
    kinds = collections.Counter(
        call.outcome or call.answer.value
        if call.answer is _records.ResponseKind.ERROR_STATUS
        else call.answer.value
        for call in calls
    )
    return ', '.join(f'{n} {kind}' for kind, n in sorted(kinds.items()))
