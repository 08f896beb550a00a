"""Queue for the slots of an agent, earliest deadline first."""

import dataclasses
import heapq
import itertools

import trio


@dataclasses.dataclass(frozen=True)
class RunnerLimits:
    """Limits of all backend servers of this agent's host together.

    An event stream holds a connection but no slot.
    """

    slots: int = 8
    connections: int = 64


class SlotQueue:
    """Limits the number of concurrent requests on a host.

    :param slots: number of slots.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self._used = 0
        self._sequence = itertools.count()
        self._waiting: list[tuple[float, int, Slot]] = []

    @property
    def used(self) -> int:
        """Number of slots in use."""
        return self._used

    @property
    def queued(self) -> int:
        """Number of requests waiting for a slot."""
        return sum(1 for _, _, slot in self._waiting if slot.is_waiting)

    def count_ahead_of(self, start_before: float) -> int:
        """Return the number of waiting requests ahead of a new one.

        :param start_before: deadline of the new request.
        """
        return sum(
            1
            for deadline, _, slot in self._waiting
            if slot.is_waiting and deadline <= start_before
        )

    async def acquire(self, start_before: float) -> 'Slot | None':
        """Wait for a slot; the earliest deadline is served first.

        :param start_before: local time in seconds at which waiting ends.
        :returns: a slot that must be released, None after the deadline.
        """
        await trio.lowlevel.checkpoint()
        slot = Slot(self)
        if self._used < self.slots and not self.queued:
            self._grant(slot)
            return slot
        heapq.heappush(
            self._waiting, (start_before, next(self._sequence), slot)
        )
        try:
            with trio.move_on_at(start_before):
                await slot.granted.wait()
                return slot
        except trio.Cancelled:
            slot.release()
            raise
        finally:
            slot.is_waiting = False
        slot.release()
        return None

    def on_released(self) -> None:
        """Grant a released slot to the request with the earliest deadline."""
        self._used -= 1
        while self._waiting and self._used < self.slots:
            _, _, slot = heapq.heappop(self._waiting)
            if slot.is_waiting:
                self._grant(slot)

    def _grant(self, slot: 'Slot') -> None:
        self._used += 1
        slot.held = True
        slot.is_waiting = False
        slot.granted.set()


class Slot:
    """Permission for one request to run on the host.

    :param queue: the queue that it is returned to.
    """

    def __init__(self, queue: SlotQueue) -> None:
        self.granted = trio.Event()
        self.is_waiting = True
        self.held = False
        self._queue = queue

    def release(self) -> None:
        """Release the slot; no effect if it is not held."""
        self.is_waiting = False
        if self.held:
            self.held = False
            self._queue.on_released()
