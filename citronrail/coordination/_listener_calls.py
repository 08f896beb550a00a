"""Calls of ownership listeners, in order for each range."""

import collections.abc
import dataclasses
import math

import trio

from citronrail.coordination import _owned_ranges as ranges
from citronrail.model import identifiers
from citronrail import observability
from citronrail.observability.catalogue import coordination as events

Call = collections.abc.Callable[
    [ranges.OwnershipListener], collections.abc.Awaitable[None]
]


@dataclasses.dataclass(frozen=True)
class _Queued:
    call: Call
    done: trio.Event


class ListenerCalls:
    """Queues calls for each range; a failing listener is logged.

    :param range_count: number of ranges.
    """

    def __init__(self, range_count: int) -> None:
        self._listeners: list[ranges.OwnershipListener] = []
        channels = [
            trio.open_memory_channel[_Queued](math.inf)
            for _ in range(range_count)
        ]
        self._senders = [sender for sender, _ in channels]
        self._receivers = [receiver for _, receiver in channels]

    def add(self, listener: ranges.OwnershipListener) -> None:
        """Add a listener; listeners are called in the order added."""
        self._listeners.append(listener)

    def queue(self, range_id: identifiers.RangeId, call: Call) -> trio.Event:
        """Queue a call of all listeners.

        :param range_id: the range it is about.
        :param call: awaited with each listener.
        :returns: set when all listeners have been called.
        """
        queued = _Queued(call, trio.Event())
        self._senders[range_id].send_nowait(queued)
        return queued.done

    async def run(self) -> None:
        """Make the queued calls until cancelled."""
        async with trio.open_nursery() as nursery:
            for number, receiver in enumerate(self._receivers):
                nursery.start_soon(self._serve, number, receiver)

    async def _serve(
        self, number: int, receiver: trio.MemoryReceiveChannel[_Queued]
    ) -> None:
        async for queued in receiver:
            for listener in self._listeners:
                try:
                    await queued.call(listener)
                except Exception as exc:  # noqa: BLE001 - others go on
                    observability.emit(
                        events.LISTENER_FAILED, range_id=number, reason=exc
                    )
            queued.done.set()
