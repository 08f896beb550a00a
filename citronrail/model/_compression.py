"""Compression of periodic messages."""

import zlib

# Preset dictionary: field names of the periodic messages as msgpack encodes
# them, the most frequent ones last. Peers of other versions use the same
# bytes, so the dictionary must never change; names of fields that are added
# later are sent in full.
_NAMES = (
    'data_centre rack tasks address reserved team amount co_runner_shares'
    ' host_load measured_at co_runners slowdown usage work_class millicores'
    ' memory_mb accelerators attempt task owner index number UsageReport'
    ' entries node_id ranges range_id fencing permit_until settings_version'
    ' HeartbeatAck entries_known ready leaving backends service incarnation'
    ' free load slots_used connections_used queued latency_ms slots'
    ' connections clock seq boot_id Heartbeat'
)
_DICTIONARY = b''.join(
    bytes((0xA0 + len(name),)) + name.encode() for name in _NAMES.split()
)
# On these messages, the output of level 1 is within 5% of that of level 6.
_LEVEL = 1
_WINDOW_BITS = -12  # raw deflate with a window of 4 KB
_COMPRESSED_MARKER = b'\xc1'  # a byte that msgpack never uses
MAX_BYTES = 8 * 1024 * 1024


def compress(data: bytes) -> bytes:
    """Compress the bytes of a message.

    :param data: msgpack.
    :returns: a marker that never begins msgpack data, then deflated bytes.
    """
    compressor = zlib.compressobj(
        _LEVEL, zlib.DEFLATED, _WINDOW_BITS, zdict=_DICTIONARY
    )
    return _COMPRESSED_MARKER + compressor.compress(data) + compressor.flush()


def expand(data: bytes) -> bytes:
    """Return the bytes of a message, compressed or not.

    :param data: one frame from a peer.
    :returns: msgpack.
    :raises ValueError: if it is malformed, truncated or too large.
    """
    if not data.startswith(_COMPRESSED_MARKER):
        return data
    decompressor = zlib.decompressobj(_WINDOW_BITS, zdict=_DICTIONARY)
    try:
        expanded = decompressor.decompress(data[1:], MAX_BYTES)
    except zlib.error as exc:
        raise ValueError(str(exc)) from exc
    if not decompressor.eof or decompressor.unused_data:
        raise ValueError('the message is cut off or too large')
    return expanded
