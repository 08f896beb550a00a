"""The subcommand ``timeline``."""

import collections.abc
import dataclasses
import pathlib
import urllib.parse

import trio

from citronrail.cli import _arguments
from citronrail.cli import _client
from citronrail.cli import _exit_codes
from citronrail.cli import _output
from citronrail.cli import _run
from citronrail import observability

# Timeout of one request. Peers are queried through the entries.
REQUEST_TIMEOUT_S = 8.0
MAX_CONCURRENT_REQUESTS = 16


@dataclasses.dataclass(frozen=True)
class ListedProcess:
    """A process in the peer list of an entry."""

    node_id: str
    boot_id: str
    role: str
    data_centre: str = ''


@dataclasses.dataclass
class _CollectedTimelines:
    """Timelines by process, and errors of their collection."""

    timelines: dict[tuple[str, str], observability.Collected] = (
        dataclasses.field(default_factory=dict)
    )
    problems: list[str] = dataclasses.field(default_factory=list)

    def add(self, item: observability.Collected) -> None:
        """Add the timeline of a process; of two, the longer one is kept."""
        key = (item.timeline.process, item.timeline.boot_id)
        known = self.timelines.get(key)
        if known is None or len(known.timeline.events) < len(
            item.timeline.events
        ):
            self.timelines[key] = item


async def show_timeline(
    options: _arguments.CommonOptions,
    streams: _run.Streams,
    *,
    processes: collections.abc.Sequence[str] = (),
    cause: str | None = None,
    last_s: float | None = None,
    trace: str | None = None,
) -> _exit_codes.ExitCode:
    """Collect, merge and print the events of all processes.

    :param options: entries and output format.
    :param streams: output streams.
    :param processes: URLs of additional processes.
    :param cause: only events caused by this id; None for all.
    :param last_s: only events of the last seconds; None for all.
    :param trace: file for trace-event JSON; None prints text.
    :returns: 4 if no process responded, 2 if the file can't be written,
        else 0.
    """
    async with _run.open_http_client() as http:
        client = _client.EntryClient(options.entries, http)
        collected = await _collect(client, processes)
    for problem in collected.problems:
        streams.stderr.write(f'note: {problem}\n')
    if not collected.timelines:
        return _exit_codes.ExitCode.UNREACHABLE
    merged = observability.merge(tuple(collected.timelines.values()))
    for note in merged.notes:
        streams.stderr.write(f'note: {note}\n')
    merged = dataclasses.replace(
        merged, events=_select_events(merged.events, cause, last_s)
    )
    if trace is not None:
        return _write_trace(trace, observability.trace_events(merged), streams)
    _print(merged, options.output, streams)
    return _exit_codes.ExitCode.DONE


async def _collect(
    client: _client.EntryClient, processes: collections.abc.Sequence[str]
) -> _CollectedTimelines:
    collected = _CollectedTimelines()
    listed: dict[str, tuple[str, ListedProcess]] = {}
    limit = trio.CapacityLimiter(MAX_CONCURRENT_REQUESTS)

    async def fetch(url: str) -> None:
        async with limit:
            try:
                collected.add(await client.timeline(url, REQUEST_TIMEOUT_S))
            except _client.EntryRequestFailed as exc:
                collected.problems.append(str(exc))

    async def fetch_from_entry(entry: str) -> None:
        await fetch(f'{entry}/timeline')
        try:
            peers = await client.get(
                f'{entry}/peers', tuple[ListedProcess, ...], REQUEST_TIMEOUT_S
            )
        except _client.EntryRequestFailed:
            return
        for peer in peers:
            listed.setdefault(peer.node_id, (entry, peer))

    async with trio.open_nursery() as nursery:
        for entry in client.entries:
            nursery.start_soon(fetch_from_entry, entry)
        for url in processes:
            nursery.start_soon(fetch, f'{url}/timeline')
    collected_processes = {process for process, _ in collected.timelines}
    async with trio.open_nursery() as nursery:
        for node_id, (entry, _) in listed.items():
            if node_id not in collected_processes:
                query = urllib.parse.urlencode({'process': node_id})
                nursery.start_soon(fetch, f'{entry}/timeline?{query}')
    return collected


def _select_events(
    events: tuple[observability.MergedEvent, ...],
    cause: str | None,
    last_s: float | None,
) -> tuple[observability.MergedEvent, ...]:
    """Select events by time and by direct or indirect cause."""
    if last_s is not None and events:
        since = max(event.time_s for event in events) - last_s
        events = tuple(event for event in events if event.time_s >= since)
    if cause is None:
        return events
    related_ids = {cause}
    selected = []
    for event in events:
        record = event.record
        mentioned = {record.event_id, record.cause, *record.fields.values()}
        if any(_enclosing_ids(name) & related_ids for name in mentioned):
            related_ids.add(record.event_id)
            selected.append(event)
    return tuple(selected)


def _enclosing_ids(name: str) -> set[str]:
    """Return an id with the ids of its task and its job."""
    task = name.partition('#')[0]
    return {name, task, task.rpartition('/')[0] or name}


def _write_trace(
    path: str, data: bytes, streams: _run.Streams
) -> _exit_codes.ExitCode:
    try:
        pathlib.Path(path).write_bytes(data)
    except OSError as exc:
        streams.stderr.write(f'{path}: {exc.strerror or exc}\n')
        return _exit_codes.ExitCode.USAGE
    streams.stdout.write(
        f'{path} written; open it in Chrome\'s trace viewer or Perfetto\n'
    )
    return _exit_codes.ExitCode.DONE


def _print(
    merged: observability.MergedTimeline,
    output_format: str,
    streams: _run.Streams,
) -> None:
    if output_format == 'json':
        streams.stdout.write(observability.merged_to_json(merged) + '\n')
        return
    start_s = min((event.time_s for event in merged.events), default=0.0)
    width = max((len(event.process) for event in merged.events), default=0)
    for event in merged.events:
        record = event.record
        cause = f'  <- {record.cause}' if record.cause else ''
        line = (
            f'{event.time_s - start_s:12.6f} ±{event.uncertainty_s:.6f} '
            f'{event.process.ljust(width)} CR{record.number} {record.text}'
            f'  [{record.event_id}]{cause}'
        )
        streams.stdout.write(_output.printable(line) + '\n')
