"""Simulated cluster with a virtual clock.

Hosts run tasks whose speed depends on their co-runners; replicas serve
requests with 8 slots each. Policies see only delayed, noisy usage records.
"""

import bisect
import collections
import dataclasses
import heapq
import math
import random

from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import resources
from citronrail.model import specs
from measure import _workload as workload

SLOTS_PER_REPLICA = 8
MAX_CONNECTIONS = 64
# Callers' deadline, used as the latency of a request that all replicas reject.
REJECTED_LATENCY_S = 2.0
SERVICE_START_S = 5.0
CHECKPOINT_S = 2.0
# Time until a task uses its full memory size.
MEMORY_GROWTH_S = 30.0
FAIL_AFTER_S = 2.0
USAGE_INTERVAL_S = 2
SERVICE_TIME_SIGMA = 0.4
CROSS_DATA_CENTRE_S = 0.003
NOISE_SIGMA = 0.1
MIN_LAG_S = 4.0
MAX_LAG_S = 8.0


@dataclasses.dataclass
class Task:
    """A task; ``done_s`` is progress in seconds without interference."""

    work: workload.Work
    ready_at: float
    done_s: float = 0.0
    saved_s: float = 0.0
    node_id: str = ''
    reservation: resources.Resources = resources.Resources()
    share: float = 1.0
    started_at: float = 0.0
    stops_at: float | None = None
    checkpoints: bool = False
    slots: list[float] = dataclasses.field(default_factory=list)
    attempt: int = 0


@dataclasses.dataclass
class Host:
    """A host; a ``broken`` one fails all batch tasks quickly."""

    node_id: identifiers.NodeId
    data_centre: identifiers.DataCentreName
    rack: str
    capacity: resources.Resources
    tasks: dict[specs.TaskId, Task] = dataclasses.field(default_factory=dict)
    up: bool = True
    broken: bool = False
    load: float = 0.0
    contention: float = 1.0


@dataclasses.dataclass(frozen=True)
class EndedTask:
    """A task that ended on a host; ``state`` as in a task report."""

    task: Task
    node_id: str
    state: str
    run_s: float


class Cluster:
    """The hosts and requests of one run.

    :param load: workload and faults of the run.
    :param seed: seed of service times, request arrivals and noise.
    :param round_robin: route by round robin instead of two choices.
    """

    def __init__(
        self, load: workload.Workload, seed: int, round_robin: bool
    ) -> None:
        self.load = load
        self.round_robin = round_robin
        self._rng = random.Random(f'cluster/{seed}')
        self._round_robin_index = 0
        self.hosts = _hosts(load.deployment)
        self.latencies: list[tuple[float, float]] = []
        self.work_done = 0.0
        self.work_lost = 0.0
        self._reports: list[
            tuple[float, int, str, tuple[messages.TaskUsage, ...]]
        ] = []
        self._report_number = 0

    def start(
        self,
        task: Task,
        node_id: str,
        reservation: resources.Resources,
        now: float,
    ) -> None:
        """Start a task on a host."""
        task.node_id = node_id
        task.reservation = reservation
        task.share = 1.0
        task.started_at = now
        task.stops_at = None
        task.attempt += 1
        if task.work.service:
            task.slots = [now + SERVICE_START_S] * SLOTS_PER_REPLICA
        self.hosts[node_id].tasks[task.work.task] = task

    def stop(self, task: Task, checkpoint: bool, now: float) -> None:
        """Request a stop, after a checkpoint if asked for and supported."""
        task.checkpoints = checkpoint and task.work.checkpointable
        task.stops_at = now + (CHECKPOINT_S if task.checkpoints else 0.0)

    def advance(self, now: float, step_s: float) -> list[EndedTask]:
        """Run all tasks for ``step_s`` and return those that ended."""
        ended: list[EndedTask] = []
        for host in self.hosts.values():
            if not host.up:
                continue
            self._measure_load(host, now)
            for task in list(host.tasks.values()):
                state = self._advance_task(host, task, now, step_s)
                if state:
                    ended.append(self._remove(host, task, state, now))
            ended += self._out_of_memory(host, now)
            if int(now) % USAGE_INTERVAL_S == 0:
                self._report(host, now)
        return ended

    def fail_host(self, host: Host, now: float) -> list[EndedTask]:
        """Fail a host and all its tasks."""
        host.up = False
        return [
            self._remove(host, task, 'lost', now)
            for task in list(host.tasks.values())
        ]

    def reports(
        self, now: float
    ) -> list[tuple[str, tuple[messages.TaskUsage, ...]]]:
        """Return the usage records that have arrived."""
        arrived = []
        while self._reports and self._reports[0][0] <= now:
            _, _, node_id, usage = heapq.heappop(self._reports)
            arrived.append((node_id, usage))
        return arrived

    def serve_requests(self, now: float, step_s: float) -> None:
        """Serve the requests that arrive in the next ``step_s`` seconds."""
        for index, name in enumerate(self.load.deployment.services):
            replicas = [
                (host, task, self.slowdown(host, task))
                for host in self.hosts.values()
                if host.up
                for task in host.tasks.values()
                if task.work.service == name
                and now >= task.started_at + SERVICE_START_S
            ]
            rate = self.load.rate(index, now)
            at = now + self._rng.expovariate(rate)
            while at < now + step_s:
                self._serve_request(replicas, at)
                at += self._rng.expovariate(rate)

    def slowdown(self, host: Host, task: Task) -> float:
        """Return the true slowdown of a task caused by its co-runners."""
        unit = host.capacity.millicores / 8
        total = 0.0
        for other in host.tasks.values():
            if other is task:
                continue
            size = other.work.true.millicores * other.share / unit
            pair = (task.work.work_class, other.work.work_class)
            total += size * self.load.excess[pair].at(host.load)
        # Services have a larger processor weight, so contention affects them
        # less.
        weight = 0.3 if task.work.service else 1.0
        contention = 1.0 + weight * (host.contention - 1.0)
        return (1.0 + total * (1.0 + 0.25 * total)) * contention

    def _serve_request(
        self, replicas: list[tuple[Host, Task, float]], at: float
    ) -> None:
        rng = self._rng
        data_centres = self.load.deployment.data_centres
        entry = data_centres[int(rng.random() * len(data_centres))]
        chosen = self._route(replicas, at)
        if chosen is None:
            # All replicas rejected the request: its deadline expires.
            self.latencies.append((at, REJECTED_LATENCY_S))
            return
        host, task, slowdown_ratio = chosen
        start = max(at, task.slots[0])
        sigma = SERVICE_TIME_SIGMA
        service_s = workload.SERVICE_TIME_S * math.exp(
            sigma * rng.gauss(0.0, 1.0) - sigma * sigma / 2
        )
        end = start + service_s * slowdown_ratio
        task.slots.pop(0)
        bisect.insort(task.slots, end)
        cross_data_centre_s = (
            CROSS_DATA_CENTRE_S if host.data_centre != entry else 0.0
        )
        self.latencies.append((at, end - at + cross_data_centre_s))

    def _route(
        self, replicas: list[tuple[Host, Task, float]], at: float
    ) -> tuple[Host, Task, float] | None:
        """Choose by round robin or two choices; skips full replicas."""
        count = len(replicas)
        if count == 0:
            return None
        self._round_robin_index += 1
        if self.round_robin or count == 1:
            order = [
                replicas[(self._round_robin_index + i) % count]
                for i in range(count)
            ]
        else:
            first = int(self._rng.random() * count)
            second = (
                first + 1 + int(self._rng.random() * (count - 1))
            ) % count
            one, two = replicas[first], replicas[second]
            queues = _queue_length(one, at), _queue_length(two, at)
            if min(queues) < MAX_CONNECTIONS:
                return one if queues[0] <= queues[1] else two
            order = replicas
        for item in order:
            if _queue_length(item, at) < MAX_CONNECTIONS:
                return item
        return None

    def _measure_load(self, host: Host, now: float) -> None:
        demand = 0.0
        for task in host.tasks.values():
            use = task.work.true.millicores * task.share
            if task.work.service:
                use *= _busy_slots(task, now) / SLOTS_PER_REPLICA
            demand += use
        ratio = demand / host.capacity.millicores
        host.load = min(1.0, ratio)
        host.contention = max(1.0, ratio)

    def _advance_task(
        self, host: Host, task: Task, now: float, step_s: float
    ) -> str:
        """Return the final state of the task, or '' while it runs."""
        if task.work.service:
            return 'stopped' if _is_due(task.stops_at, now) else ''
        progress = step_s * task.share / self.slowdown(host, task)
        task.done_s += progress
        self.work_done += progress * task.work.true.millicores
        if host.broken and now >= task.started_at + FAIL_AFTER_S:
            return 'failed'
        if task.done_s >= task.work.run_s:
            return 'finished'
        if _is_due(task.stops_at, now):
            return 'checkpointed' if task.checkpoints else 'stopped'
        return ''

    def _remove(
        self, host: Host, task: Task, state: str, now: float
    ) -> EndedTask:
        del host.tasks[task.work.task]
        task.node_id = ''
        task.ready_at = now
        if state == 'checkpointed':
            task.saved_s = task.done_s
        elif state != 'finished' and not task.work.service:
            lost_s = task.done_s - task.saved_s
            self.work_lost += lost_s * task.work.true.millicores
            task.done_s = task.saved_s
        return EndedTask(task, host.node_id, state, now - task.started_at)

    def _out_of_memory(self, host: Host, now: float) -> list[EndedTask]:
        """Kill tasks furthest above their reservation until memory fits."""
        ended = []
        used = sum(_memory_mb(task, now) for task in host.tasks.values())
        while used > host.capacity.memory_mb:
            batch = [t for t in host.tasks.values() if not t.work.service]
            victim = max(
                batch,
                key=lambda item: (
                    _memory_mb(item, now) - item.reservation.memory_mb,
                    item.work.task,
                ),
            )
            used -= _memory_mb(victim, now)
            ended.append(self._remove(host, victim, 'out of memory', now))
        return ended

    def _report(self, host: Host, now: float) -> None:
        usage = []
        for task in host.tasks.values():
            others = [t for t in host.tasks.values() if t is not task]
            noise = self._rng.lognormvariate(0.0, NOISE_SIGMA)
            usage.append(
                messages.TaskUsage(
                    specs.AttemptId(task.work.task, task.attempt),
                    task.work.work_class,
                    dataclasses.replace(
                        task.work.true, memory_mb=int(_memory_mb(task, now))
                    ),
                    max(1.0, self.slowdown(host, task) * noise),
                    tuple(other.work.work_class for other in others),
                    now,
                    tuple(other.share for other in others),
                    host.load,
                )
            )
        self._report_number += 1
        arrival = now + self._rng.uniform(MIN_LAG_S, MAX_LAG_S)
        heapq.heappush(
            self._reports,
            (arrival, self._report_number, host.node_id, tuple(usage)),
        )


def _queue_length(replica: tuple[Host, Task, float], at: float) -> float:
    """Estimate the requests in slots and in the queue of a replica."""
    _, task, slowdown_ratio = replica
    wait_s = task.slots[0] - at
    if wait_s <= 0.0:
        return _busy_slots(task, at)
    return SLOTS_PER_REPLICA * (
        1.0 + wait_s / (workload.SERVICE_TIME_S * slowdown_ratio)
    )


def _busy_slots(task: Task, at: float) -> int:
    return SLOTS_PER_REPLICA - bisect.bisect_right(task.slots, at)


def _memory_mb(task: Task, now: float) -> float:
    grown_fraction = min(
        1.0, 0.3 + 0.7 * (now - task.started_at) / MEMORY_GROWTH_S
    )
    return task.work.true.memory_mb * grown_fraction


def _is_due(at: float | None, now: float) -> bool:
    return at is not None and now >= at


def _hosts(deployment: workload.Deployment) -> dict[str, Host]:
    hosts: dict[str, Host] = collections.OrderedDict()
    names = deployment.data_centres
    for index in range(workload.WORKERS):
        # The last data centre gets the remaining workers; racks hold three.
        data_centre = names[min(index // 3, len(names) - 1)]
        node_id = identifiers.NodeId(f'{deployment.name}-{index}')
        hosts[node_id] = Host(
            node_id,
            identifiers.DataCentreName(data_centre),
            f'rack-{index // 3}',
            deployment.capacity,
        )
    return hosts
