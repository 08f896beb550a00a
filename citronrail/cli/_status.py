"""The subcommand ``status``."""

import dataclasses

import msgspec
import trio

from citronrail.cli import _arguments
from citronrail.cli import _client
from citronrail.cli import _exit_codes
from citronrail.cli import _output
from citronrail.cli import _run
from citronrail.model import messages
from citronrail.model import outcome as outcomes

WAIT_S = 3.0
_QUERIES = (
    ('entries', 'show entries order by entry'),
    ('data centres', 'show data_centres order by data_centre'),
    ('workers', 'show workers count by state'),
    ('jobs', 'show jobs count by state'),
    ('tasks', 'show tasks count by state'),
)


@dataclasses.dataclass(frozen=True)
class Section:
    """One part of the status."""

    title: str
    columns: tuple[str, ...]
    rows: tuple[tuple[messages.Cell, ...], ...]
    note: str = ''


async def show_status(
    options: _arguments.Common, streams: _run.Streams
) -> _exit_codes.ExitCode:
    """Print the entries and the fleet at a glance.

    :param options: entries and form of output.
    :param streams: where to print.
    :returns: 0 if every given entry is ready and all parts were read, 4 if
        no entry answers, else 1.
    """
    async with _run.open_http() as http:
        client = _client.EntryClient(options.entries, http)
        states = await _states(client)
        sections = [
            Section(
                'asked',
                ('url', 'state'),
                tuple((url, states[url]) for url in client.entries),
            )
        ]
        try:
            for title, query in _QUERIES:
                sections.append(await _section(client, title, query, options))
        except _client.NoEntryReachable as exc:
            streams.stderr.write(f'no entry reachable: {exc}\n')
            return _exit_codes.ExitCode.UNREACHABLE
    _print(sections, options.output, streams)
    healthy = all(state == 'ready' for state in states.values())
    whole = not any(section.note for section in sections)
    if healthy and whole:
        return _exit_codes.ExitCode.DONE
    return _exit_codes.ExitCode.NOT_RUN


async def _states(client: _client.EntryClient) -> dict[str, str]:
    states: dict[str, str] = {}

    async def ask(url: str) -> None:
        states[url] = await client.readiness(url, WAIT_S)

    async with trio.open_nursery() as nursery:
        for url in client.entries:
            nursery.start_soon(ask, url)
    return states


async def _section(
    client: _client.EntryClient,
    title: str,
    query: str,
    options: _arguments.Common,
) -> Section:
    reply = await client.execute(
        _run.new_command_id(), query, options.timeout_s
    )
    note = reply.message
    if reply.outcome is not outcomes.Outcome.DONE:
        note = note or reply.outcome.value
    return Section(title, reply.columns, reply.rows, note)


def _print(sections: list[Section], form: str, streams: _run.Streams) -> None:
    if form == 'json':
        streams.stdout.write(msgspec.json.encode(sections).decode() + '\n')
        return
    for section in sections:
        streams.stdout.write(f'{section.title}\n')
        if section.columns:
            laid_out = _output.table(section.columns, section.rows)
            indented = laid_out.rstrip('\n').replace('\n', '\n  ')
            streams.stdout.write(f'  {indented}\n')
        if section.note:
            streams.stderr.write(
                f'note: {section.title}: {_output.printable(section.note)}\n'
            )
