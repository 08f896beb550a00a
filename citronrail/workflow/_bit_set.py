"""Compact set of small numbers."""


class BitSet:
    """Set of numbers from 0, at one bit for each up to the largest.

    A set that holds nothing takes no space for its numbers.
    """

    __slots__ = ('_bits',)

    def __init__(self) -> None:
        self._bits = bytearray()

    def __contains__(self, number: int) -> bool:
        position = number >> 3
        if position >= len(self._bits):
            return False
        return bool(self._bits[position] & (1 << (number & 7)))

    def add(self, number: int) -> None:
        """Add a number.

        :param number: a number from 0.
        """
        position = number >> 3
        if position >= len(self._bits):
            self._bits.extend(bytes(position + 1 - len(self._bits)))
        self._bits[position] |= 1 << (number & 7)
