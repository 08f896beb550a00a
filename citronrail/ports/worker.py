"""Port to the platform's worker on the agent's host."""

import dataclasses
import typing

from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import resources
from citronrail.model import specs


@dataclasses.dataclass(frozen=True)
class WorkerInfo:
    """Capacity of the worker; ``clock`` is its monotonic clock."""

    capacity: resources.Resources
    clock: float
    boot_id: identifiers.BootId


@dataclasses.dataclass(frozen=True)
class EndedTask:
    """An ended attempt that the worker still lists.

    ``state`` is ``finished``, ``failed``, ``stopped`` or ``checkpointed``.
    """

    attempt: specs.AttemptId
    range_id: identifiers.RangeId
    state: str
    result: str = ''
    checkpoint: str = ''
    run_s: float = 0.0
    usage: resources.Resources = resources.Resources()
    reason: str = ''


@dataclasses.dataclass(frozen=True)
class WorkerTasks:
    """The worker's own list, authoritative for what runs on the host."""

    clock: float
    boot_id: identifiers.BootId
    running: tuple[messages.RunningTask, ...] = ()
    ended: tuple[EndedTask, ...] = ()


class Worker(typing.Protocol):
    """A worker that runs tasks under leases.

    A start raises :class:`citronrail.errors.CheckpointUnknown` when the
    platform no longer has the checkpoint.
    Calls raise :class:`citronrail.errors.WorkerRefused` when the worker
    confirmed that nothing happened and
    :class:`citronrail.errors.WorkerOutcomeUnknown` otherwise. Times are in
    seconds on the worker's monotonic clock.
    """

    async def info(self) -> WorkerInfo:
        """Return capacity and clock."""
        ...

    async def start(
        self,
        attempt: specs.AttemptId,
        range_id: identifiers.RangeId,
        spec: specs.TaskSpec,
        start_before: float,
        lease_until: float,
    ) -> None:
        """Start an attempt; refused after ``start_before``."""
        ...

    async def renew(
        self, attempts: tuple[specs.AttemptId, ...], lease_until: float
    ) -> tuple[specs.AttemptId, ...]:
        """Renew leases; return the attempts that still run."""
        ...

    async def stop(
        self, attempts: tuple[specs.AttemptId, ...], checkpoint: bool
    ) -> None:
        """Stop attempts, after writing a checkpoint if requested."""
        ...

    async def throttle(self, attempt: specs.AttemptId, share: float) -> None:
        """Limit an attempt to a share of its processors."""
        ...

    async def tasks(self) -> WorkerTasks:
        """List running and ended attempts."""
        ...

    async def forget(self, attempts: tuple[specs.AttemptId, ...]) -> None:
        """Drop ended attempts whose results are committed."""
        ...

    async def usage(self) -> tuple[messages.TaskUsage, ...]:
        """Return the latest measurements; they may be out of date."""
        ...
