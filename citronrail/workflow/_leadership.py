"""One leadership: what guards its writes and how long it lasts."""

import collections.abc

import trio

from citronrail import ports

# After its store lease has ended, a scheduler extends leases of workers for
# at most this long; its successor waits as long for workers that it can't
# reach.
EXTEND_AFTER_LOSS_S = 8.0


class Leadership:
    """One leadership of this entry.

    :param guard: condition that fails once it has ended.
    :param held_until: local time until which it certainly lasts; in the past
        once it is lost.
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
        """Token that workers compare; higher for each leadership."""
        return self.guard.revision

    @property
    def valid_until(self) -> float:
        """Local time until which it lasted, as far as is known."""
        self._last_valid_until = max(
            self._last_valid_until, self._held_until()
        )
        return self._last_valid_until

    @property
    def extend_until(self) -> float:
        """Local time until which leases of workers may be extended."""
        return self.valid_until + EXTEND_AFTER_LOSS_S

    @property
    def valid(self) -> bool:
        """Whether it certainly lasts now."""
        return trio.current_time() < min(self.valid_until, self._held_until())
