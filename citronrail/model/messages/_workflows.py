"""Messages between the scheduling entry, agents and the other entries."""

import dataclasses

from citronrail.model import bounded
from citronrail.model.messages import _registry


@dataclasses.dataclass(frozen=True)
class WorkerLife:
    """One incarnation of a worker, as it last announced itself.

    ``born_ms`` distinguishes incarnations with the same ``worker_id``. The
    state is one of:

    * ``ready``,
    * ``draining``, which is never taken back,
    * ``leaving`` after a message of the worker that it ends, which may be one
      of an earlier incarnation, until its next announcement,
    * ``starting`` for one that a list has shown before its first
      announcement; its other fields may be outdated.
    """

    worker_id: bounded.Name
    born_ms: bounded.UnixMs
    service: bounded.Name
    data_centre: bounded.Name
    state: str
    cpu_millis: bounded.Amount
    memory_mb: bounded.Amount
    accelerators: bounded.Amount
    labels: tuple[bounded.Name, ...] = ()
    drain_left_s: bounded.Number = 0.0


@dataclasses.dataclass(frozen=True)
class RunRow:
    """A run on the worker's list.

    ``load`` is the tail latency in ms of a serving task, otherwise the
    cores in use in thousandths.
    """

    task: bounded.Name
    run: bounded.Count
    checkpoint: bounded.Text
    percent: bounded.Count
    load: bounded.Number


@dataclasses.dataclass(frozen=True)
class EndRow:
    """An ended run; ``number`` counts those of a worker incarnation."""

    number: bounded.Count
    task: bounded.Name
    run: bounded.Count
    how: bounded.Name
    checkpoint: bounded.Text


@dataclasses.dataclass(frozen=True)
class RefusedStart:
    """A start that the worker or the agent definitely did not execute."""

    task: bounded.Name
    run: bounded.Count
    reason: str


@dataclasses.dataclass(frozen=True)
class TaskRun:
    """One run of a task."""

    task: bounded.Name
    run: bounded.Count


@dataclasses.dataclass(frozen=True)
class StartOrder:
    """A run to start."""

    task: bounded.Name
    run: bounded.Count
    argument: bounded.Text
    checkpoint: bounded.Text = ''
    ticket: str = ''


@dataclasses.dataclass(frozen=True)
class PaceOrder:
    """Limits a run to ``percent`` of its processors."""

    task: bounded.Name
    run: bounded.Count
    percent: bounded.Count


@_registry.message
class WorkerOrders:
    """Scheduler to agent.

    ``worker_id`` and ``born_ms`` identify the worker incarnation; an
    empty id asks for a report only. ``lease_until_ms`` is on the worker's
    clock, 0 for none. ``number`` counts the orders of one scheduler to that
    incarnation; ``reports`` confirms the agent's reports up to that number.
    """

    fencing: bounded.Id
    worker_id: bounded.Name = ''
    born_ms: bounded.UnixMs = 0
    lease_until_ms: bounded.Count = 0
    acknowledged: bounded.Count = 0
    starts: tuple[StartOrder, ...] = ()
    stops: tuple[TaskRun, ...] = ()
    paces: tuple[PaceOrder, ...] = ()
    number: int = 0
    reports: int = 0


@_registry.message
class WorkerReport:
    """Agent to scheduler, on every change and at least twice a second.

    ``fencing`` is the token that the worker confirmed before it created the
    list; ``clock_ms`` is the worker's clock at that moment, 0 without a list.
    ``token`` is the highest token that the agent has seen. If the worker
    stays unresponsive, its runs end within ``lease_left_s``, counting only
    orders up to ``lease_until_ms``. ``unreachable`` is set if the last list
    call failed. ``received`` is the highest number of the orders under
    ``token`` that had arrived; those up to ``settled`` had been carried out
    before the list was requested. ``number`` counts the reports to one
    scheduler. ``has_more_ends`` is set if the worker may hold ends that the
    list doesn't show, so that a run in neither list may have ended.
    ``incarnations`` counts those of the worker that the agent process has
    seen, 0 if it doesn't tell.
    """

    fencing: bounded.Id
    life: WorkerLife | None
    clock_ms: bounded.Count = 0
    running: tuple[RunRow, ...] = ()
    ended: tuple[EndRow, ...] = ()
    refused: tuple[RefusedStart, ...] = ()
    stopped: tuple[TaskRun, ...] = ()
    token: bounded.Id = 0
    lease_until_ms: bounded.Count = 0
    lease_left_s: bounded.Number = 0.0
    unreachable: bool = False
    received: int = 0
    settled: int = 0
    number: int = 0
    has_more_ends: bool = False
    incarnations: bounded.Count = 0


@_registry.message
class JobStateQuery:
    """Entry to scheduler: the state of a job, or a queue's backlog.

    Exactly one of ``job_id`` and ``queue`` is given.
    """

    query_id: int
    job_id: str = ''
    queue: str = ''


@_registry.message
class JobStateReply:
    """Answer to a query; ``state`` is '' if the job is unknown."""

    query_id: int
    state: str = ''
    pending: int = -1


@_registry.message
class EntryDirectory:
    """Leader to entry, on each change and every 2 s.

    ``entries`` are the node ID and the address (``tcp://IP:PORT``) of each
    entry. ``fencing`` is the leader's token; an older directory is ignored.
    """

    fencing: bounded.Id
    entries: tuple[tuple[str, str], ...]


@_registry.message
class StoreStatus:
    """Entry to entry, on each change and twice a second.

    ``reachable`` is set if the store answers and accepts the sender's calls.
    """

    reachable: bool


@_registry.message
class RelayRequest:
    """Entry to entry: perform a request with your own store calls.

    ``kind`` is 'submit', 'cancel' or 'state'; ``record`` is the job to store.
    ``left_s`` is how long the sender waits for the answer.
    """

    request_id: int
    kind: str
    job_id: str
    record: bytes
    left_s: float


@_registry.message
class RelayReply:
    """Answer to a relay; ``verdict`` is a value of ``workflow.Verdict``."""

    request_id: int
    verdict: str
    state: str = ''


@_registry.message
class JobAccepted:
    """Entry to scheduler: a stored job, ahead of the store's watch event."""

    job_id: str
    record: bytes


@_registry.message
class JobCancelled:
    """Entry to scheduler: a stored cancellation."""

    job_id: str


@dataclasses.dataclass(frozen=True)
class BacklogAhead:
    """Work that goes before a new job of ``priority``."""

    priority: int
    core_s: bounded.SignedNumber
    gb_s: bounded.SignedNumber


@dataclasses.dataclass(frozen=True)
class ServiceBacklog:
    """Backlog of a service whose waiting tasks don't fit its workers.

    Work is done at ``cores`` core-seconds and ``memory_gb`` gigabyte-seconds
    a second. The free shape is that of the worker with most free memory.
    """

    service: str
    cores: bounded.SignedNumber
    memory_gb: bounded.SignedNumber
    ahead: tuple[BacklogAhead, ...] = ()
    free_cpu_millis: int = 0
    free_memory_mb: int = 0


@_registry.message
class StateSize:
    """Leader to entries: the memory that its jobs take, every few seconds.

    ``leader`` is the fencing token, ``used`` and ``limit`` are in bytes (a
    ``limit`` of 0 means none), and ``entries`` is the number of entries that
    can be reached.
    """

    leader: bounded.Id
    used: bounded.Count
    limit: bounded.Count
    entries: bounded.Count = 1


@_registry.message
class StateLimit:
    """Entry to leader: the size of the state that it can hold, in bytes.

    Sent if it is below that of the leader, as the entry may lead next.
    """

    limit: bounded.Count


@_registry.message
class BacklogSummary:
    """Leader to entries, twice a second while there is a backlog.

    ``leader`` is the fencing token, ``made_at`` Unix time in seconds, and
    ``entries`` the number of entries that can be reached. One without
    services tells that the backlog has ended.
    """

    version: bounded.Count
    leader: bounded.Id
    made_at: bounded.SignedNumber
    services: tuple[ServiceBacklog, ...] = ()
    entries: bounded.Count = 1
