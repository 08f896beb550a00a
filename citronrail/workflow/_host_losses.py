"""Which hosts lost their worker lately."""

import collections.abc

# A host is not sound for so long after it has returned. Workers that flap and
# hosts that lose power in series are mostly lost again within this time.
SETTLE_S = 3.0

WorkerLife = tuple[str, int]


class HostLosses:
    """Losses of workers in the last seconds, as far as a scheduler knows."""

    def __init__(self) -> None:
        # By incarnation: its agent, and when the next one was heard of.
        self._losses: dict[WorkerLife, tuple[str, float]] = {}

    def add(self, life: WorkerLife, node: str, now: float) -> None:
        """Record that a lost worker is back, and forget earlier losses.

        :param life: the incarnation that was lost.
        :param node: its agent.
        :param now: local time in seconds.
        """
        self._losses = {
            known: (other, returned_at)
            for known, (other, returned_at) in self._losses.items()
            if now - returned_at < SETTLE_S
        }
        self._losses[life] = (node, now)

    def forgive(self, lives: collections.abc.Iterable[WorkerLife]) -> None:
        """Remove losses that their hosts did not cause."""
        for life in lives:
            self._losses.pop(life, None)

    def count(self, node: str, now: float) -> int:
        """Return how often a host has lost its worker lately.

        :param node: its agent.
        :param now: local time in seconds.
        """
        return sum(
            other == node and now - returned_at < SETTLE_S
            for other, returned_at in self._losses.values()
        )

    def any(self, now: float) -> bool:
        """Whether any host has lost its worker lately.

        :param now: local time in seconds.
        """
        return any(
            now - returned_at < SETTLE_S
            for _, returned_at in self._losses.values()
        )
