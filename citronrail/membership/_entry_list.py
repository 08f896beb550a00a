"""The list of live entries that entries and agents share."""

import collections.abc
import zlib

from citronrail.model import messages


def checksum(
    entries: collections.abc.Iterable[messages.EntryAddress],
) -> int:
    """Return a number that differs for different lists of entries.

    :param entries: addresses in any order.
    :returns: a CRC-32 over the sorted list; 0 for an empty list.
    """
    lines = sorted(
        f'{entry.node_id} {entry.boot_id} {entry.address}' for entry in entries
    )
    return zlib.crc32('\n'.join(lines).encode()) if lines else 0
