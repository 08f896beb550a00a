"""Sequences whose items are made when they are accessed."""

import collections.abc
import typing

T = typing.TypeVar('T')


class LazySequence(collections.abc.Sequence[T]):
    """Sequence of a known length whose items are made on access.

    :param length: number of items.
    :param item_at: returns the item of an index from 0.
    """

    __slots__ = ('_item_at', '_length')

    def __init__(
        self, length: int, item_at: collections.abc.Callable[[int], T]
    ) -> None:
        self._length = length
        self._item_at = item_at

    def __len__(self) -> int:
        return self._length

    @typing.overload
    def __getitem__(self, index: int) -> T: ...

    @typing.overload
    def __getitem__(self, index: slice) -> list[T]: ...

    def __getitem__(self, index: int | slice) -> T | list[T]:
        if isinstance(index, slice):
            return [
                self._item_at(n) for n in range(*index.indices(self._length))
            ]
        if not -self._length <= index < self._length:
            raise IndexError(index)
        return self._item_at(index % self._length)
