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

# Entries answer each within this time; peers are asked through them.
WAIT_S = 8.0
AT_ONCE = 16


@dataclasses.dataclass(frozen=True)
class Listed:
    """A process in the list of an entry."""

    node_id: str
    boot_id: str
    role: str
    data_centre: str = ''


@dataclasses.dataclass
class _Found:
    """Timelines by process, and what could not be collected."""

    timelines: dict[tuple[str, str], observability.Collected] = (
        dataclasses.field(default_factory=dict)
    )
    problems: list[str] = dataclasses.field(default_factory=list)

    def add(self, item: observability.Collected) -> None:
        """Keep the timeline of a process, the longer of two."""
        key = (item.timeline.process, item.timeline.boot_id)
        known = self.timelines.get(key)
        if known is None or len(known.timeline.events) < len(
            item.timeline.events
        ):
            self.timelines[key] = item


async def show_timeline(
    options: _arguments.Common,
    streams: _run.Streams,
    *,
    processes: collections.abc.Sequence[str] = (),
    cause: str | None = None,
    last_s: float | None = None,
    trace: str | None = None,
) -> _exit_codes.ExitCode:
    """Collect, align and print the events of all processes.

    :param options: entries and form of output.
    :param streams: where to print.
    :param processes: URLs of further processes.
    :param cause: only what this id led to; None for everything.
    :param last_s: only events of the last seconds; None for all.
    :param trace: file for trace-event JSON; None prints text.
    :returns: 4 if no process answered, else 0.
    """
    async with _run.open_http() as http:
        client = _client.EntryClient(options.entries, http)
        found = await _collect(client, processes)
    for problem in found.problems:
        streams.stderr.write(f'note: {problem}\n')
    if not found.timelines:
        return _exit_codes.ExitCode.UNREACHABLE
    merged = observability.merge(tuple(found.timelines.values()))
    for note in merged.notes:
        streams.stderr.write(f'note: {note}\n')
    merged = dataclasses.replace(
        merged, events=_chosen(merged.events, cause, last_s)
    )
    if trace is not None:
        return _write(trace, observability.trace_events(merged), streams)
    _print(merged, options.output, streams)
    return _exit_codes.ExitCode.DONE


async def _collect(
    client: _client.EntryClient, processes: collections.abc.Sequence[str]
) -> _Found:
    found = _Found()
    listed: dict[str, tuple[str, Listed]] = {}
    limit = trio.CapacityLimiter(AT_ONCE)

    async def ask(url: str) -> None:
        async with limit:
            try:
                found.add(await client.timeline(url, WAIT_S))
            except _client.EntryFailed as exc:
                found.problems.append(str(exc))

    async def ask_entry(entry: str) -> None:
        await ask(f'{entry}/timeline')
        try:
            peers = await client.get(
                f'{entry}/peers', tuple[Listed, ...], WAIT_S
            )
        except _client.EntryFailed:
            return
        for peer in peers:
            listed.setdefault(peer.node_id, (entry, peer))

    async with trio.open_nursery() as nursery:
        for entry in client.entries:
            nursery.start_soon(ask_entry, entry)
        for url in processes:
            nursery.start_soon(ask, f'{url}/timeline')
    known = {process for process, _ in found.timelines}
    async with trio.open_nursery() as nursery:
        for node_id, (entry, _) in listed.items():
            if node_id not in known:
                query = urllib.parse.urlencode({'process': node_id})
                nursery.start_soon(ask, f'{entry}/timeline?{query}')
    return found


def _chosen(
    events: tuple[observability.MergedEvent, ...],
    cause: str | None,
    last_s: float | None,
) -> tuple[observability.MergedEvent, ...]:
    """Choose events by cause, following effects, and by time."""
    if last_s is not None and events:
        since = max(event.time_s for event in events) - last_s
        events = tuple(event for event in events if event.time_s >= since)
    if cause is None:
        return events
    followed = {cause}
    chosen = []
    for event in events:
        record = event.record
        named = {record.event_id, record.cause, *record.fields.values()}
        if any(_wholes(name) & followed for name in named):
            followed.add(record.event_id)
            chosen.append(event)
    return tuple(chosen)


def _wholes(name: str) -> set[str]:
    """Return an id and what it is a part of: attempt, task and job."""
    task = name.partition('#')[0]
    return {name, task, task.rpartition('/')[0] or name}


def _write(
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
    merged: observability.MergedTimeline, form: str, streams: _run.Streams
) -> None:
    if form == 'json':
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
