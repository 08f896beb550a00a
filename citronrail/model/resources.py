"""Amounts of processors, memory and accelerators."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Resources:
    """An amount of host resources.

    Processors are counted in integer millicores, so that sums are exact.
    """

    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: 'Resources') -> 'Resources':
        return Resources(
            self.millicores + other.millicores,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: 'Resources') -> 'Resources':
        return Resources(
            self.millicores - other.millicores,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def fits_in(self, capacity: 'Resources') -> bool:
        """Return whether every amount is at most that of ``capacity``.

        :param capacity: the amounts available.
        :returns: True if no single amount exceeds the capacity.
        """
        return (
            self.millicores <= capacity.millicores
            and self.memory_mb <= capacity.memory_mb
            and self.accelerators <= capacity.accelerators
        )

    def maximum(self, other: 'Resources') -> 'Resources':
        """Return the larger of each amount.

        :param other: amounts to compare with.
        :returns: the element-wise maximum.
        """
        return Resources(
            max(self.millicores, other.millicores),
            max(self.memory_mb, other.memory_mb),
            max(self.accelerators, other.accelerators),
        )
