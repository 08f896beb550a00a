"""Follows all keys under a prefix of the store."""

import collections.abc
import typing

import trio

from citronrail import errors
from citronrail import observability
from citronrail.observability.catalogue import workflow as events
from citronrail import ports

RETRY_S = 0.1
MAX_RETRY_S = 0.5


class PrefixListener(typing.Protocol):
    """Receives what is stored under a prefix; never an older state."""

    def on_listing(self, items: tuple[ports.KeyValue, ...]) -> None:
        """Take all present items; keys that aren't among them are gone."""
        ...

    def on_events(self, changes: tuple[ports.WatchEvent, ...]) -> None:
        """Take changes; an empty tuple says that nothing has changed."""
        ...


async def follow(
    store: ports.KeyValueStore,
    prefix: str,
    listener: PrefixListener,
    *,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """List, then watch, and begin again after each failure.

    :param store: the store.
    :param prefix: start of the keys.
    :param listener: takes listings and changes.
    :param task_status: started at once, before the first listing.
    """
    task_status.started()
    pause_s = RETRY_S
    lost = False
    while True:
        try:
            listing = await store.list(prefix)
            listener.on_listing(listing.items)
            if lost:
                observability.emit(events.WATCH_REGAINED, prefix=prefix)
            lost = False
            pause_s = RETRY_S
            async with store.watch(prefix, listing.revision + 1) as changes:
                await _deliver(changes, listener)
        except errors.StoreCompacted:
            observability.emit(events.WATCH_COMPACTED, prefix=prefix)
            continue
        except errors.CitronrailError as exc:
            if not lost:
                observability.emit(
                    events.WATCH_LOST, prefix=prefix, reason=exc
                )
            lost = True
        await trio.sleep(pause_s)
        pause_s = min(2 * pause_s, MAX_RETRY_S)


async def _deliver(
    changes: collections.abc.AsyncIterator[tuple[ports.WatchEvent, ...]],
    listener: PrefixListener,
) -> None:
    async for batch in changes:
        listener.on_events(batch)
