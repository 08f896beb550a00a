"""A leadership: its fencing token and its end."""

import collections.abc

import trio

from citronrail import ports

# After its store lease has ended, a scheduler extends the leases of workers
# for at most this long. Its successor waits as long for unreachable workers.
EXTEND_AFTER_LOSS_S = 8.0
VALIDITY_POLL_S = 0.02


class Leadership:
    """One leadership of this entry.

    :param guard: condition that fails once the leadership has ended.
    :param held_until: returns the local time until which the store lease is
        certainly held; a time in the past once it is lost.
    """

    def __init__(
        self,
        guard: ports.Compare,
        held_until: collections.abc.Callable[[], float],
    ) -> None:
        self.guard = guard
        self._held_until = held_until
        self._last_valid_until = held_until()

    @property
    def fencing(self) -> int:
        """Fencing token; increases with each leadership."""
        return self.guard.revision

    @property
    def valid_until(self) -> float:
        """Latest local time at which the lease was known to be held."""
        self._last_valid_until = max(
            self._last_valid_until, self._held_until()
        )
        return self._last_valid_until

    @property
    def extend_until(self) -> float:
        """Local time until which the leases of workers may be extended."""
        return self.valid_until + EXTEND_AFTER_LOSS_S

    @property
    def valid(self) -> bool:
        """Whether the leadership certainly has not ended."""
        return trio.current_time() < min(self.valid_until, self._held_until())

    async def await_valid(self) -> None:
        """Wait until the leadership is valid."""
        while not self.valid:
            await trio.sleep(VALIDITY_POLL_S)
