"""Checksum of the list of live entries."""

import collections.abc
import zlib

from citronrail.model import messages


def checksum(
    entries: collections.abc.Iterable[messages.EntryAddress],
) -> int:
    """Return a checksum by which changed lists of entries are detected.

    :param entries: entry addresses in any order.
    :returns: a CRC-32 over the sorted list; 0 for an empty list.
    """
    lines = sorted(
        f'{entry.node_id} {entry.boot_id} {entry.address}' for entry in entries
    )
    return zlib.crc32('\n'.join(lines).encode()) if lines else 0
