"""Calls ownership listeners, in order for each range."""

import collections.abc
import dataclasses
import math

import trio

from citronrail.coordination import _owned_ranges as ranges
from citronrail.model import identifiers
from citronrail import observability
from citronrail.observability.catalogue import coordination as events

ListenerCall = collections.abc.Callable[
    [ranges.OwnershipListener], collections.abc.Awaitable[None]
]


@dataclasses.dataclass(frozen=True)
class _QueuedCall:
    call: ListenerCall
    done: trio.Event


class ListenerDispatcher:
    """Runs queued listener calls; exceptions of listeners are logged.

    :param range_count: number of ranges.
    """

    def __init__(self, range_count: int) -> None:
        self._listeners: list[ranges.OwnershipListener] = []
        channels = [
            trio.open_memory_channel[_QueuedCall](math.inf)
            for _ in range(range_count)
        ]
        self._senders = [sender for sender, _ in channels]
        self._receivers = [receiver for _, receiver in channels]

    def add(self, listener: ranges.OwnershipListener) -> None:
        """Add a listener; listeners are called in the order added."""
        self._listeners.append(listener)

    def enqueue(
        self, range_id: identifiers.RangeId, call: ListenerCall
    ) -> trio.Event:
        """Queue a call to all listeners.

        :param range_id: the range that the call concerns.
        :param call: called with each listener and awaited.
        :returns: event that is set after all listeners have been called.
        """
        queued = _QueuedCall(call, trio.Event())
        self._senders[range_id].send_nowait(queued)
        return queued.done

    async def run(self) -> None:
        """Run queued calls until cancelled."""
        async with trio.open_nursery() as nursery:
            for number, receiver in enumerate(self._receivers):
                nursery.start_soon(self._dispatch, number, receiver)

    async def _dispatch(
        self, number: int, receiver: trio.MemoryReceiveChannel[_QueuedCall]
    ) -> None:
        async for queued in receiver:
            for listener in self._listeners:
                try:
                    await queued.call(listener)
                except Exception as exc:  # noqa: BLE001 - isolates listeners
                    observability.emit(
                        events.LISTENER_FAILED, range_id=number, reason=exc
                    )
            queued.done.set()
