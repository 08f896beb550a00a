"""The timeline of one process, collected by other processes and tools."""

import collections.abc
import dataclasses
import zlib

import msgspec
import trio

from citronrail.observability import _events

MAX_EVENTS = 20_000
MAX_EXPANDED_BYTES = 64 * 1024 * 1024


@dataclasses.dataclass(frozen=True)
class ClockReading:
    """At local time ``local_s`` the peer's clock was at least ``peer_s``."""

    process: str
    boot_id: str
    peer_s: float
    local_s: float


@dataclasses.dataclass(frozen=True)
class ProcessTimeline:
    """Events of a process and its readings of other clocks.

    ``clock`` is the process's monotonic clock, in seconds, read when the
    timeline was requested. ``events`` are the latest events, oldest first.
    """

    process: str
    boot_id: str
    role: str
    clock: float
    events: tuple[_events.EventRecord, ...] = ()
    readings: tuple[ClockReading, ...] = ()


def snapshot(
    process: str,
    boot_id: str,
    role: str,
    readings: collections.abc.Iterable[ClockReading] = (),
    limit: int = MAX_EVENTS,
) -> ProcessTimeline:
    """Return the timeline of this process.

    :param process: node id.
    :param boot_id: boot id.
    :param role: ``entry`` or ``agent``.
    :param readings: readings of the clocks of peers.
    :param limit: maximum number of events.
    :returns: the latest events of the current task's recorder.
    """
    records = _events.current_recorder().records()
    return ProcessTimeline(
        process,
        boot_id,
        role,
        trio.current_time(),
        records[-limit:] if limit else (),
        tuple(readings),
    )


def to_json(timeline: ProcessTimeline) -> bytes:
    """Encode a timeline as JSON."""
    return msgspec.json.encode(timeline)


def from_json(data: bytes) -> ProcessTimeline:
    """Decode a timeline.

    :param data: JSON made by :func:`to_json`, possibly by another version.
    :returns: the timeline.
    :raises ValueError: if the JSON is not a timeline.
    """
    return msgspec.json.decode(data, type=ProcessTimeline)


def compress(timeline: ProcessTimeline) -> bytes:
    """Encode a timeline for a peer message."""
    return zlib.compress(to_json(timeline), 1)


def expand(data: bytes) -> ProcessTimeline:
    """Decode the result of :func:`compress`.

    :param data: the payload of a peer message.
    :returns: the timeline.
    :raises ValueError: if it is malformed, truncated or too large.
    """
    decoder = zlib.decompressobj()
    try:
        expanded = decoder.decompress(data, MAX_EXPANDED_BYTES)
    except zlib.error as exc:
        raise ValueError(str(exc)) from exc
    if not decoder.eof:
        raise ValueError('the timeline is cut off or too long')
    return from_json(expanded)
