"""The worker stand-in as an implementation of the worker port."""

import collections.abc
import dataclasses
import typing

import trio

from citronrail import errors
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import specs
from citronrail.ports import worker as ports
from standins.worker import _core
from standins.worker import _settings

HANG_POLL_INTERVAL_S = 0.05


class CheckpointStore(typing.Protocol):
    """The platform's shared checkpoint store."""

    async def put(self, token: str, progress_s: float) -> None:
        """Store a checkpoint.

        :raises OSError: if it cannot be written.
        """
        ...

    async def get(self, token: str) -> float | None:
        """Return the progress of a checkpoint, None if it is unknown.

        :raises OSError: if it cannot be read.
        """
        ...


class MemoryCheckpoints:
    """In-memory checkpoints, shared by the workers of a test."""

    def __init__(self) -> None:
        self.kept: dict[str, float] = {}
        self.available = True

    async def put(self, token: str, progress_s: float) -> None:
        """Store a checkpoint."""
        await trio.lowlevel.checkpoint()
        if not self.available:
            raise OSError('the checkpoint store is unavailable')
        self.kept[token] = progress_s

    async def get(self, token: str) -> float | None:
        """Return the progress of a checkpoint."""
        await trio.lowlevel.checkpoint()
        if not self.available:
            raise OSError('the checkpoint store is unavailable')
        return self.kept.get(token)


class MemoryWorker:
    """A :class:`citronrail.ports.Worker` with faults, in this process.

    :param cfg: capacity and behaviour.
    :param boot_id: identity of this run of the worker.
    :param checkpoints: store shared with other workers.
    :param clock: monotonic clock in seconds.
    """

    def __init__(
        self,
        cfg: _settings.WorkerSettings,
        boot_id: identifiers.BootId,
        checkpoints: CheckpointStore,
        clock: collections.abc.Callable[[], float] = trio.current_time,
    ) -> None:
        self.core = _core.WorkerCore(cfg, boot_id, clock)
        self._checkpoints = checkpoints
        self._changed = trio.Event()

    def switch(self, **switches: typing.Any) -> None:
        """Change fault switches by name."""
        self.core.switches = dataclasses.replace(
            self.core.switches, **switches
        )

    async def changed(self) -> None:
        """Wait until a call may have changed the set of running tasks."""
        await self._changed.wait()

    async def info(self) -> ports.WorkerInfo:
        """Return capacity and clock."""
        info = self.core.info()
        await self._apply_response_faults()
        return info

    async def start(
        self,
        attempt: specs.AttemptId,
        range_id: identifiers.RangeId,
        spec: specs.TaskSpec,
        start_before: float,
        lease_until: float,
    ) -> None:
        """Start an attempt; refused after ``start_before``."""
        await trio.lowlevel.checkpoint()
        progress_s = 0.0
        if spec.checkpoint:
            progress_s = await self._load_checkpoint(spec.checkpoint)
        self.core.start(
            attempt, range_id, spec, start_before, lease_until, progress_s
        )
        self._notify()
        await self._apply_response_faults()

    async def _load_checkpoint(self, token: str) -> float:
        try:
            progress_s = await self._checkpoints.get(token)
        except OSError as exc:
            raise errors.WorkerRefused(
                f'the checkpoint cannot be read: {exc}', step='worker.start'
            ) from exc
        if progress_s is None:
            raise errors.CheckpointUnknown(
                'the checkpoint is unknown', step='worker.start'
            )
        return progress_s

    async def renew(
        self, attempts: tuple[specs.AttemptId, ...], lease_until: float
    ) -> tuple[specs.AttemptId, ...]:
        """Renew leases; return the attempts that still run."""
        running = self.core.renew(attempts, lease_until)
        await self._apply_response_faults()
        return running

    async def stop(
        self, attempts: tuple[specs.AttemptId, ...], checkpoint: bool
    ) -> None:
        """Stop attempts, optionally after writing a checkpoint."""
        await trio.lowlevel.checkpoint()
        if checkpoint:
            async with trio.open_nursery() as nursery:
                for attempt in attempts:
                    nursery.start_soon(self._write_checkpoint, attempt)
        else:
            self.core.stop(attempts)
        self._notify()
        await self._apply_response_faults()

    async def _write_checkpoint(self, attempt: specs.AttemptId) -> None:
        progress_s = self.core.begin_checkpoint(attempt)
        if progress_s is None:
            return
        token = f'{self.core.boot_id}/{attempt}'
        # A started checkpoint is completed even if the caller cancels.
        with trio.CancelScope(shield=True):
            await trio.sleep(self.core.cfg.checkpoint_s)
            try:
                with trio.fail_after(5.0):
                    await self._checkpoints.put(token, progress_s)
            except (OSError, trio.TooSlowError):
                token = ''
            self.core.end_checkpoint(attempt, token)
            self._notify()

    async def throttle(self, attempt: specs.AttemptId, share: float) -> None:
        """Limit an attempt to a share of its CPU."""
        await trio.lowlevel.checkpoint()
        self.core.throttle(attempt, share)
        await self._apply_response_faults()

    async def tasks(self) -> ports.WorkerTasks:
        """List running and ended attempts."""
        listing = self.core.tasks()
        await self._apply_response_faults()
        return listing

    async def forget(self, attempts: tuple[specs.AttemptId, ...]) -> None:
        """Drop ended attempts whose results are committed."""
        self.core.forget(attempts)
        await self._apply_response_faults()

    async def usage(self) -> tuple[messages.TaskUsage, ...]:
        """Return the latest measurements older than the configured lag."""
        usage = self.core.usage()
        await self._apply_response_faults()
        return usage

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    async def _apply_response_faults(self) -> None:
        """Delay or drop the response according to the fault switches."""
        await trio.lowlevel.checkpoint()
        if self.core.switches.delay_s > 0.0:
            await trio.sleep(self.core.switches.delay_s)
        while self.core.switches.hang:
            await trio.sleep(HANG_POLL_INTERVAL_S)
        if self.core.switches.drop_answers:
            raise errors.WorkerOutcomeUnknown(
                'the response was lost', step='worker'
            )
