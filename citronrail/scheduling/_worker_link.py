"""Calls to the worker with timeouts, and the latest reading of its clock."""

import collections.abc
import contextlib
import typing

import trio

from citronrail import errors
from citronrail import observability
from citronrail.observability.catalogue import scheduling as catalogue
from citronrail.ports import worker as workers
from citronrail.scheduling import _metrics
from citronrail.scheduling import _worker_clock

T = typing.TypeVar('T')

CALL_TIMEOUT_S = 2.0
UNRESPONSIVE_AFTER_S = 5.0  # without a list; then no task is started


class WorkerLink:
    """Connection of an agent to the worker on its host.

    :param worker: port to the worker.
    """

    def __init__(self, worker: workers.Worker) -> None:
        self.port = worker
        self._clock: _worker_clock.WorkerClock | None = None
        self._boot_id = ''
        self._last_listing_at = -UNRESPONSIVE_AFTER_S
        self._unresponsive = False

    @property
    def clock(self) -> _worker_clock.WorkerClock | None:
        """Latest reading of the worker's clock, None before the first one."""
        return self._clock

    def is_responsive(self, now: float) -> bool:
        """Tell whether the worker has returned its list recently."""
        return self._clock is not None and (
            now - self._last_listing_at < UNRESPONSIVE_AFTER_S
        )

    async def tasks(self) -> workers.WorkerTasks | None:
        """Return the worker's list, None if it doesn't answer in time."""
        try:
            with _timed_call('tasks'):
                listing = await self.port.tasks()
        except errors.CitronrailError as exc:
            self._report_unresponsive('tasks', exc)
            return None
        now = trio.current_time()
        self._clock = _worker_clock.WorkerClock(listing.clock, now)
        self._last_listing_at = now
        self._check_boot_id(listing.boot_id)
        if self._unresponsive:
            self._unresponsive = False
            observability.emit(catalogue.WORKER_RECOVERED)
        return listing

    async def try_call(
        self, step: str, call: collections.abc.Callable[[], typing.Any]
    ) -> bool:
        """Make a call that the caller retries later if it fails.

        :param step: name of the call.
        :param call: returns the awaitable.
        :returns: True if it succeeded.
        """
        try:
            with _timed_call(step):
                await call()
        except errors.CitronrailError as exc:
            self._report_unresponsive(step, exc)
            return False
        return True

    async def start(
        self, call: collections.abc.Callable[[], typing.Any]
    ) -> None:
        """Make a start call.

        :param call: returns the awaitable.
        :raises citronrail.errors.WorkerRefused: if it was not started.
        :raises citronrail.errors.WorkerOutcomeUnknown: if it may have been.
        """
        with _timed_call('start'):
            await call()

    def _report_unresponsive(
        self, step: str, exc: errors.CitronrailError
    ) -> None:
        if not self._unresponsive:
            self._unresponsive = True
            observability.emit(
                catalogue.WORKER_UNREACHABLE, step=step, reason=exc.message
            )

    def _check_boot_id(self, boot_id: str) -> None:
        if self._boot_id and boot_id != self._boot_id:
            observability.emit(catalogue.WORKER_RESTARTED, boot=boot_id)
        self._boot_id = boot_id


@contextlib.contextmanager
def _timed_call(step: str) -> collections.abc.Iterator[None]:
    started_at = trio.current_time()
    try:
        with trio.fail_after(CALL_TIMEOUT_S):
            yield
    except trio.TooSlowError as exc:
        raise errors.WorkerOutcomeUnknown(
            f'no answer within {CALL_TIMEOUT_S} s', step=f'worker.{step}'
        ) from exc
    finally:
        _metrics.WORKER_CALL_SECONDS.labels(step).observe(
            trio.current_time() - started_at
        )
