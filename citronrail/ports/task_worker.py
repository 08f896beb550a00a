"""Port to a worker that runs the tasks of workflows under leases."""

import dataclasses
import enum
import typing

from citronrail.model import messages


class StartVerdict(enum.Enum):
    """Result of an order to start a run."""

    STARTED = 'started'
    REFUSED = 'refused'  # definitely not started, now or later
    UNKNOWN = 'unknown'  # may be executed, even seconds later


@dataclasses.dataclass(frozen=True)
class StartResult:
    """Verdict on a start, with the worker's reason if it refused."""

    verdict: StartVerdict
    reason: str = ''


@dataclasses.dataclass(frozen=True)
class WorkerList:
    """Snapshot of a worker's running and ended runs.

    ``clock_ms`` is the worker's monotonic clock; ``born_ms`` identifies
    its incarnation. ``has_more_ends`` is set if the worker may hold ends that
    it shows only once these have been acknowledged.
    """

    born_ms: int
    clock_ms: int
    running: tuple[messages.RunRow, ...]
    ended: tuple[messages.EndRow, ...]
    has_more_ends: bool = False


@dataclasses.dataclass(frozen=True)
class LeaseOrder:
    """Extends the lease of all runs and acknowledges ends.

    ``lease_until_ms`` is on the worker's clock, 0 leaves the lease as it is.
    """

    fencing: int
    acknowledged: int
    lease_until_ms: int = 0
    wait_ms: int = 0  # how long the answer may wait for an end


class TaskWorker(typing.Protocol):
    """A worker; each call names the incarnation that it addresses.

    Each call but :meth:`start` raises
    :class:`citronrail.errors.WorkerRefused` when the worker confirmed that
    nothing happened and :class:`citronrail.errors.WorkerOutcomeUnknown` when
    no response arrived.
    """

    async def list_runs(
        self, life: messages.WorkerLife, order: LeaseOrder
    ) -> WorkerList:
        """Extend the lease, acknowledge ends and return both lists."""
        ...

    async def start(
        self,
        life: messages.WorkerLife,
        order: messages.StartOrder,
        start_until_ms: int,
        fencing: int,
    ) -> StartResult:
        """Start a run, refused after ``start_until_ms`` on its clock."""
        ...

    async def stop(
        self, life: messages.WorkerLife, run: messages.TaskRun, fencing: int
    ) -> None:
        """Stop a run; a start of it that arrives later is refused."""
        ...

    async def pace(
        self,
        life: messages.WorkerLife,
        order: messages.PaceOrder,
        fencing: int,
    ) -> None:
        """Limit a run to a share of its processors."""
        ...
