"""Follows all keys under a prefix of the store."""

import collections.abc
import typing

import trio

from citronrail import errors
from citronrail import observability
from citronrail.observability.catalogue import workflow as events
from citronrail import ports
from citronrail.workflow import _metrics as metrics

T = typing.TypeVar('T')
RETRY_S = 0.1
MAX_RETRY_S = 0.5
# With fast takeover. 70 processes then make at most 470 calls a second while
# the store is down, below a tenth of the read calls that it allows.
FAST_MAX_RETRY_S = 0.15


class PrefixListener(typing.Protocol):
    """Receives the items under a prefix; states never go backwards."""

    def on_listing(self, items: tuple[ports.KeyValue, ...]) -> None:
        """Handle all current items; other keys don't exist any more."""
        ...

    def on_events(self, changes: tuple[ports.WatchEvent, ...]) -> None:
        """Handle changes; an empty tuple confirms that there are none."""
        ...


async def follow(
    store: ports.KeyValueStore,
    prefix: str,
    listener: PrefixListener,
    *,
    max_retry_s: float = MAX_RETRY_S,
    new_filter: collections.abc.Callable[[], ports.ItemFilter] | None = None,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """List, then watch a prefix, and start over after each failure.

    :param store: the store.
    :param prefix: prefix of the keys.
    :param listener: receives listings and changes.
    :param max_retry_s: longest pause after a failure, in seconds.
    :param new_filter: returns the filter of the next listing; None if it
        shows all items.
    :param task_status: started at once, before the first listing.
    """
    task_status.started()
    pause_s = RETRY_S
    lost = False
    while True:
        try:
            keep = None if new_filter is None else new_filter()
            listing = await store.list(prefix, keep)
            _deliver_listing(listener, prefix, listing.items)
            if lost:
                observability.emit(events.WATCH_REGAINED, prefix=prefix)
            lost = False
            pause_s = RETRY_S
            async with store.watch(prefix, listing.revision + 1) as changes:
                async for batch in changes:
                    _deliver_events(listener, prefix, batch)
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
        pause_s = min(2 * pause_s, max_retry_s)


def _deliver_listing(
    listener: PrefixListener, prefix: str, items: tuple[ports.KeyValue, ...]
) -> None:
    """Deliver a listing, without the items that the listener can't handle."""
    if _succeeds(listener.on_listing, items, prefix, 'all keys'):
        return
    handled = tuple(
        item
        for item in items
        if _succeeds(
            listener.on_events,
            (ports.WatchEvent(item.key, item.value, item.revision),),
            prefix,
            item.key,
        )
    )
    _succeeds(listener.on_listing, handled, prefix, 'the other keys')


def _deliver_events(
    listener: PrefixListener,
    prefix: str,
    changes: tuple[ports.WatchEvent, ...],
) -> None:
    """Deliver changes, one by one if the listener can't handle them all."""
    if _succeeds(listener.on_events, changes, prefix, 'changes'):
        return
    for change in changes:
        _succeeds(listener.on_events, (change,), prefix, change.key)


def _succeeds(
    handle: collections.abc.Callable[[T], None],
    items: T,
    prefix: str,
    key: str,
) -> bool:
    """Call a listener; log and count its error, whatever it is.

    An error in a listener must not end the follower, which serves the whole
    process. Listeners skip what they can't decode, so that this is a fault
    of theirs.
    """
    try:
        handle(items)
    except Exception as exc:  # noqa: BLE001
        metrics.LISTENER_FAILURES.labels(prefix).inc()
        observability.emit(
            events.LISTENER_FAILED, prefix=prefix, key=key, reason=repr(exc)
        )
        return False
    return True
