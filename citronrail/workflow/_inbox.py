"""What the scheduling entry reads of the inbox: jobs and cancellations."""

import collections.abc
import contextlib
import time
import typing

import trio

from citronrail import errors
from citronrail import observability
from citronrail.observability.catalogue import workflow as events
from citronrail import ports
from citronrail.workflow import _documents as documents
from citronrail.workflow import _job_loader
from citronrail.workflow import _metrics as metrics
from citronrail.workflow import _prefix_follower
from citronrail.workflow import _scheduler_state
from citronrail.workflow import _state_writer

# Bounds how long a job that neither the watch nor an entry reports stays
# unknown. With 500 jobs in the store this is a tenth of a read a second.
RECONCILE_S = 10.0
# A job in a listing may have been stored just before it.
LATE_S = 1.0


class _Item(typing.Protocol):
    """An item of a listing or an event."""

    @property
    def key(self) -> str:
        """Key of the item."""
        ...

    @property
    def value(self) -> bytes | None:
        """Value of the item, None if it was removed."""
        ...

    @property
    def revision(self) -> int:
        """Revision of its last change."""
        ...


T = typing.TypeVar('T', bound=_Item)


class Inbox:
    """Passes on what the store shows, without jobs that were deleted.

    A listing may have been read before a job was deleted and arrive after.
    Its job would run again from the start.

    :param listener: receives the jobs and cancellations.
    :param writer: knows the deleted jobs.
    :param loader: knows the other jobs.
    """

    def __init__(
        self,
        listener: _prefix_follower.PrefixListener,
        writer: _state_writer.StateWriter,
        loader: _job_loader.JobLoader,
    ) -> None:
        self._listener = listener
        self._writer = writer
        self._loader = loader
        self._listed = False

    def new_filter(self) -> ports.ItemFilter:
        """Return the filter of a listing.

        It leaves out jobs that are known, and lets large ones stay in the
        store beyond what the scheduler's state may take.
        """
        kept_bytes = 0

        def keep(item: ports.KeyValue) -> bool:
            nonlocal kept_bytes
            job_id = _job_id(item.key)
            if not item.key.startswith(
                documents.JOB_PREFIX
            ) or self._writer.was_deleted(job_id):
                return True
            if job_id in self._loader:
                return False
            if not self._loader.may_read(kept_bytes + len(item.value)):
                self._loader.leave_out(job_id, item.value)
                return False
            kept_bytes += len(item.value)
            return True

        return keep

    def on_listing(self, items: tuple[ports.KeyValue, ...]) -> None:
        """Pass on a listing."""
        current = self._current(items)
        if self._listed:
            for item in current:
                if item.key.startswith(documents.JOB_PREFIX):
                    self._report_late(item)
        self._listed = True
        self._listener.on_listing(current)

    def on_events(self, changes: tuple[ports.WatchEvent, ...]) -> None:
        """Pass on changes."""
        self._listener.on_events(self._current(changes))

    async def reconcile(self, store: ports.KeyValueStore) -> None:
        """List the inbox from time to time until cancelled.

        A watch may miss a change without an error.

        :param store: the store.
        """
        while True:
            await trio.sleep(RECONCILE_S)
            with contextlib.suppress(errors.CitronrailError):
                listing = await store.list(
                    documents.INBOX_PREFIX, self.new_filter()
                )
                self.on_listing(listing.items)

    def _report_late(self, item: ports.KeyValue) -> None:
        if _job_id(item.key) in self._loader:
            return
        record = _scheduler_state.decode_item(
            item.key, item.value, documents.JobRecord
        )
        if record is None:
            return
        age_s = time.time() - record.accepted_at
        if age_s >= LATE_S:
            metrics.JOBS_FOUND_LATE.inc()
            observability.emit(
                events.JOB_FOUND_LATE,
                job=record.job_id,
                seconds=round(age_s, 2),
            )

    def _current(self, items: tuple[T, ...]) -> tuple[T, ...]:
        """Return the items that don't belong to deleted jobs."""
        for item in items:
            if item.key.startswith(documents.JOB_PREFIX) and item.value:
                self._writer.on_job_seen(_job_id(item.key), item.revision)
        return tuple(_without(items, self._writer.was_deleted))


def _without(
    items: collections.abc.Iterable[T],
    was_deleted: collections.abc.Callable[[str], bool],
) -> collections.abc.Iterator[T]:
    return (item for item in items if not was_deleted(_job_id(item.key)))


def _job_id(key: str) -> str:
    return key.rpartition('/')[2]
