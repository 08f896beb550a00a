"""Partitioning of job names and keys into ranges."""

import hashlib

from citronrail.model import identifiers

RANGE_COUNT = 8


def range_of(name: str) -> identifiers.RangeId:
    """Return the range of a job name or key.

    The result depends on the text alone, so that every process and every
    later version agrees on it.

    :param name: a job name or a key.
    :returns: a number from 0 to ``RANGE_COUNT - 1``.
    """
    digest = hashlib.sha256(name.encode('utf-8', 'surrogatepass')).digest()
    return identifiers.RangeId(int.from_bytes(digest[:8], 'big') % RANGE_COUNT)
