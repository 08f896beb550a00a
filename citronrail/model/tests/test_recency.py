"""Tests of dictionaries that keep their most recent entries."""

from citronrail.model import recency


def test_oldest_entries_are_dropped():
    """Guards against memory that grows, and against dropping one in use."""
    entries: dict[str, int] = {}
    for number, key in enumerate('abcad'):
        recency.put_last(entries, key, number, 3)
    assert list(entries.items()) == [('c', 2), ('a', 3), ('d', 4)]
