"""Dictionaries that keep their most recently written entries."""

import typing

_K = typing.TypeVar('_K')
_V = typing.TypeVar('_V')


def put_last(entries: dict[_K, _V], key: _K, value: _V, limit: int) -> None:
    """Write an entry as the newest one, and drop the oldest beyond a limit.

    :param entries: entries in the order of their last writes.
    :param key: key of the entry.
    :param value: its value.
    :param limit: number of entries to keep.
    """
    entries.pop(key, None)
    entries[key] = value
    while len(entries) > limit:
        del entries[next(iter(entries))]
