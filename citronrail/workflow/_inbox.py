"""What the scheduling entry reads of the inbox: jobs and cancellations."""

import collections.abc
import typing

from citronrail import ports
from citronrail.workflow import _documents as documents
from citronrail.workflow import _prefix_follower
from citronrail.workflow import _state_writer


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
    """

    def __init__(
        self,
        listener: _prefix_follower.PrefixListener,
        writer: _state_writer.StateWriter,
    ) -> None:
        self._listener = listener
        self._writer = writer

    def on_listing(self, items: tuple[ports.KeyValue, ...]) -> None:
        """Pass on a listing."""
        self._listener.on_listing(self._current(items))

    def on_events(self, changes: tuple[ports.WatchEvent, ...]) -> None:
        """Pass on changes."""
        self._listener.on_events(self._current(changes))

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
