"""Slots of an agent, given in the order of deadlines."""

import heapq
import itertools

import trio


class SlotQueue:
    """Limits how many requests a host works on at once.

    :param slots: number of slots.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self._used = 0
        self._numbers = itertools.count()
        self._waiting: list[tuple[float, int, Slot]] = []

    @property
    def used(self) -> int:
        """Number of slots in use."""
        return self._used

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot."""
        return sum(1 for _, _, slot in self._waiting if slot.waits)

    def ahead_of(self, start_before: float) -> int:
        """Return how many requests get a slot before a new one.

        :param start_before: deadline of the new one.
        """
        return sum(
            1
            for deadline, _, slot in self._waiting
            if slot.waits and deadline <= start_before
        )

    async def acquire(self, start_before: float) -> 'Slot | None':
        """Wait for a slot; the earliest deadline gets the next one.

        :param start_before: local time in seconds after which it is useless.
        :returns: a slot to release, None if the time passed.
        """
        await trio.lowlevel.checkpoint()
        slot = Slot(self)
        if self._used < self.slots and not self.queued:
            self._give(slot)
            return slot
        heapq.heappush(
            self._waiting, (start_before, next(self._numbers), slot)
        )
        try:
            with trio.move_on_at(start_before):
                await slot.given.wait()
                return slot
        except trio.Cancelled:
            slot.release()
            raise
        finally:
            slot.waits = False
        slot.release()
        return None

    def released(self) -> None:
        """Give a slot that became free to the most urgent request."""
        self._used -= 1
        while self._waiting and self._used < self.slots:
            _, _, slot = heapq.heappop(self._waiting)
            if slot.waits:
                self._give(slot)

    def _give(self, slot: 'Slot') -> None:
        self._used += 1
        slot.held = True
        slot.waits = False
        slot.given.set()


class Slot:
    """A request's place among those that a host works on.

    :param queue: where it is released to.
    """

    def __init__(self, queue: SlotQueue) -> None:
        self.given = trio.Event()
        self.waits = True
        self.held = False
        self._queue = queue

    def release(self) -> None:
        """Free the slot; harmless if it was never given or is freed."""
        self.waits = False
        if self.held:
            self.held = False
            self._queue.released()
