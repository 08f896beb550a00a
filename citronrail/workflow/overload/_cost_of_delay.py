"""Order of waiting jobs by what their delay costs the callers.

Answers bursts of one class of 1.3 to 2.6 times the usual rate for 3 to 14 s,
and overload of a minute with small and large jobs. Ordered by slack, the jobs
that are about to miss their objective go first, and most jobs end late.

Priority is strict. Within a priority, jobs that can meet their objective go
first, the earliest due time first. If not all of them can, those with the most
remaining work are deferred (Moore-Hodgson), which misses the fewest
objectives. Then follow jobs whose result is late but of use, and last those
whose result is worthless.
"""

import bisect
import collections.abc
import dataclasses
import heapq

from citronrail.workflow import _queue_order

# Ageing serves the larger jobs of a class, the largest three tenths. The
# largest tenth is looked at as well, since the smaller ones of three tenths
# are served more often.
LARGER_SHARES = (0.3, 0.1)
# The larger jobs are served at least this often relative to their class. The
# customers demand 0.5; some jobs that return still miss their objective.
MIN_SERVED_RATIO = 0.6
# Remaining work of a job that has begun counts as less when jobs to defer are
# selected, so that it keeps its place against a newcomer of similar cost.
BEGUN_WORK_RATIO = 0.75

ON_TIME, LATE, HOPELESS, WORTHLESS = range(4)
Key = tuple[int, int, float]  # priority, group, and time or work


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingJob:
    """A job with tasks to place; times are local, in seconds.

    The remaining work is that of tasks without a run: tasks that run hold
    their share of the workers already. ``size`` is the work of the whole job
    in core-seconds.
    """

    job_id: str
    queue: str
    priority: int
    arrived_at: float
    objective_s: float
    remaining_s: float  # estimated remaining critical path
    remaining_core_s: float
    remaining_gb_s: float
    size: float
    waited_since: float
    begun: bool = False
    long_running: bool = False

    @property
    def due_at(self) -> float:
        """When it misses its objective."""
        return self.arrived_at + self.objective_s

    @property
    def late_at(self) -> float:
        """When its result becomes worthless."""
        ratio = _queue_order.USEFUL_TIME_RATIO
        return self.arrived_at + ratio * self.objective_s


@dataclasses.dataclass(frozen=True)
class Service:
    """Throughput of a service: what runs in progress use, and what is free.

    Work is done at ``cores`` core-seconds and ``memory_gb`` gigabyte-seconds
    a second.
    """

    cores: float
    memory_gb: float

    def work_s(self, job: WaitingJob) -> float:
        """Return the time for which a job takes the whole service.

        :param job: the job.
        :returns: seconds, by the scarcer of processors and memory.
        """
        return max(
            job.remaining_core_s / self.cores if self.cores > 0 else 0.0,
            job.remaining_gb_s / self.memory_gb if self.memory_gb > 0 else 0.0,
        )


@dataclasses.dataclass(frozen=True)
class Outcomes:
    """Sizes of a class's recent jobs by whether they ended while of use."""

    served: tuple[float, ...] = ()
    missed: tuple[float, ...] = ()


@dataclasses.dataclass(frozen=True)
class Order:
    """Sort keys of jobs by ID, and the IDs of those that are deferred."""

    keys: dict[str, Key]
    deferred: frozenset[str] = frozenset()


def order(
    jobs: collections.abc.Iterable[WaitingJob],
    service: Service,
    outcomes: collections.abc.Mapping[str, Outcomes],
    now: float,
) -> Order:
    """Order the waiting jobs of a service.

    :param jobs: the jobs.
    :param service: throughput of the service.
    :param outcomes: recent outcomes by queue.
    :param now: local time in seconds.
    """
    by_priority: dict[int, list[WaitingJob]] = {}
    for job in jobs:
        by_priority.setdefault(job.priority, []).append(job)
    keys: dict[str, Key] = {}
    deferred: set[str] = set()
    ahead_at = now  # when the work of higher priority has been started
    for priority in sorted(by_priority):
        members = by_priority[priority]
        late_ids = _order_priority(
            members, service, outcomes, (now, ahead_at), keys
        )
        deferred.update(late_ids)
        ahead_at += sum(map(service.work_s, members))
    return Order(keys, frozenset(deferred))


def group_key(job: WaitingJob, now: float) -> Key:
    """Return the sort key of a job that is not deferred.

    :param job: the job.
    :param now: local time in seconds.
    """
    if job.long_running:
        return (job.priority, ON_TIME, job.arrived_at)
    ends_at = now + job.remaining_s
    if ends_at <= job.due_at:
        return (job.priority, ON_TIME, job.due_at)
    if ends_at <= job.late_at:
        return (job.priority, LATE, job.late_at)
    return (job.priority, WORTHLESS, job.arrived_at)


def _order_priority(
    jobs: list[WaitingJob],
    service: Service,
    outcomes: collections.abc.Mapping[str, Outcomes],
    times: tuple[float, float],
    keys: dict[str, Key],
) -> list[str]:
    """Add the keys of one priority's jobs; return the IDs of the deferred.

    ``times`` are the present time and the time at which this priority's first
    job gets capacity.
    """
    now, ahead_at = times
    on_time, late = [], []
    for job in jobs:
        key = keys[job.job_id] = group_key(job, now)
        if job.long_running:
            continue
        if key[1] == ON_TIME:
            on_time.append(job)
        elif key[1] == LATE:
            late.append(job)
    on_time.sort(key=_by_due)
    plan = _plan(on_time, late, service, ahead_at)
    if not plan.on_time.deferred and not late:
        return []
    returned = _returning(
        plan,
        outcomes,
        lambda job: _ends_at(job, service, ahead_at) <= job.late_at,
    )
    if returned:
        fronts: dict[str, float] = {}
        for job in on_time:  # in the order of their due times
            fronts.setdefault(job.queue, job.due_at)
        for job in returned:
            front_at = min(job.due_at, fronts.get(job.queue, job.due_at))
            keys[job.job_id] = (job.priority, ON_TIME, front_at)
        returned_ids = {job.job_id for job in returned}
        plan = _plan(
            [job for job in on_time if job.job_id not in returned_ids],
            [job for job in late if job.job_id not in returned_ids],
            service,
            ahead_at,
            returned,
        )
    for job in plan.late.selected:
        keys[job.job_id] = (job.priority, LATE, job.late_at)
    for job in plan.late.deferred:
        keys[job.job_id] = (job.priority, HOPELESS, service.work_s(job))
    return [job.job_id for job in plan.on_time.deferred]


@dataclasses.dataclass(frozen=True)
class _Selection:
    """Jobs that can end by their limits together, and the others.

    ``started_at`` is when all selected work has been started.
    """

    selected: list[WaitingJob]
    deferred: list[WaitingJob]
    started_at: float


@dataclasses.dataclass(frozen=True)
class _Plan:
    """Jobs selected to meet their objectives, and of the rest the useful."""

    on_time: _Selection
    late: _Selection


def _plan(
    on_time: list[WaitingJob],
    late: list[WaitingJob],
    service: Service,
    ahead_at: float,
    first: collections.abc.Sequence[WaitingJob] = (),
) -> _Plan:
    in_time = _select(on_time, service, ahead_at, _due_at, first)
    others = sorted((*late, *in_time.deferred), key=_by_late)
    return _Plan(
        in_time, _select(others, service, in_time.started_at, _late_at)
    )


def _select(
    jobs: list[WaitingJob],
    service: Service,
    ahead_at: float,
    limit_at: collections.abc.Callable[[WaitingJob], float],
    first: collections.abc.Sequence[WaitingJob] = (),
) -> _Selection:
    """Select the most jobs that can end by their limits.

    :param jobs: the jobs by increasing limit.
    :param service: throughput of the service.
    :param ahead_at: when the first of them gets capacity.
    :param limit_at: returns by when a job has to end.
    :param first: jobs that are selected in any case and go first.
    """
    started_at = ahead_at + sum(map(service.work_s, first))
    # Largest first; the number makes entries comparable.
    heap: list[tuple[float, int, float, WaitingJob]] = []
    deferred = []
    for number, job in enumerate(jobs):
        work_s = service.work_s(job)
        weight = work_s * BEGUN_WORK_RATIO if job.begun else work_s
        entry = (-weight, -number, work_s, job)
        over_s = _ends_at(job, service, started_at) - limit_at(job)
        if over_s <= 0.0:
            heapq.heappush(heap, entry)
            started_at += work_s
        elif heap and -heap[0][0] > weight and heap[0][2] >= over_s:
            _, _, removed_s, removed = heapq.heapreplace(heap, entry)
            deferred.append(removed)
            started_at += work_s - removed_s
        else:
            deferred.append(job)
    selected = [*first, *(item[3] for item in heap)]
    return _Selection(selected, deferred, started_at)


def _ends_at(job: WaitingJob, service: Service, started_at: float) -> float:
    """Return when a job ends that gets the whole service from a time on."""
    return started_at + max(service.work_s(job), job.remaining_s)


def _returning(
    plan: _Plan,
    outcomes: collections.abc.Mapping[str, Outcomes],
    can_be_served: collections.abc.Callable[[WaitingJob], bool],
) -> list[WaitingJob]:
    """Return the deferred jobs that ageing brings to the front.

    Selected jobs count as served and the others as not, so that a job returns
    before its class has a history.
    """
    selected = [*plan.on_time.selected, *plan.late.selected]
    savable = {job.job_id for job in plan.on_time.deferred}
    returned = []
    for queue in sorted({job.queue for job in plan.late.deferred}):
        past = outcomes.get(queue, Outcomes())
        candidates = [
            job
            for job in plan.late.deferred
            if job.queue == queue and can_be_served(job)
        ]
        # Those that can still meet their objective are worth most.
        candidates.sort(
            key=lambda job: (
                job.job_id not in savable,
                job.waited_since,
                job.job_id,
            )
        )
        served = [
            *past.served,
            *(job.size for job in selected if job.queue == queue),
        ]
        sizes = [*served, *past.missed, *(job.size for job in candidates)]
        sizes.sort()
        wanted_ratio = MIN_SERVED_RATIO * len(served) / len(sizes)
        for share in LARGER_SHARES:
            # The size that is not among the larger ones yet, so that in a
            # class of two sizes the larger one alone counts.
            below = sizes[max(0, int(len(sizes) * (1.0 - share)) - 1)]
            larger_count = len(sizes) - bisect.bisect_right(sizes, below)
            served_count = sum(size > below for size in served)
            # Whole jobs, so that a single large job may be deferred.
            wanted = int(wanted_ratio * larger_count - served_count)
            larger = [job for job in candidates if job.size > below]
            chosen = larger[: max(0, wanted)]
            chosen_ids = {job.job_id for job in chosen}
            candidates = [
                job for job in candidates if job.job_id not in chosen_ids
            ]
            served += [job.size for job in chosen]
            returned += chosen
    return returned


def _due_at(job: WaitingJob) -> float:
    return job.due_at


def _late_at(job: WaitingJob) -> float:
    return job.late_at


def _by_late(job: WaitingJob) -> tuple[float, str]:
    return (job.late_at, job.job_id)


def _by_due(job: WaitingJob) -> tuple[float, str]:
    return (job.due_at, job.job_id)
