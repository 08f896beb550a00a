"""Port to a worker that runs the tasks of workflows under leases."""

import dataclasses
import enum
import typing

from citronrail.model import messages


class StartVerdict(enum.Enum):
    """What became of an order to start a run."""

    STARTED = 'started'
    REFUSED = 'refused'  # surely not started, now or later
    UNKNOWN = 'unknown'  # may be carried out, also seconds later


@dataclasses.dataclass(frozen=True)
class StartResult:
    """Verdict on a start, with the worker's reason if it refused."""

    verdict: StartVerdict
    reason: str = ''


@dataclasses.dataclass(frozen=True)
class WorkerList:
    """What a worker runs and what has ended there, at one moment.

    ``clock_ms`` is the worker's monotonic clock; ``born_ms`` names its life.
    """

    born_ms: int
    clock_ms: int
    running: tuple[messages.RunRow, ...]
    ended: tuple[messages.EndRow, ...]


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
    """A worker; calls name the life that they are meant for.

    Each call but :meth:`start` raises
    :class:`citronrail.errors.WorkerRefused` when the worker confirmed that
    nothing happened and :class:`citronrail.errors.WorkerOutcomeUnknown` when
    no answer came.
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
        """Start a run, refused after ``start_until_ms`` by its clock."""
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
