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

READINESS_TIMEOUT_S = 3.0
_QUERIES = (
    ('entries', 'show entries order by entry'),
    ('data centres', 'show data_centres order by data_centre'),
    ('workers', 'show workers count by state'),
    ('jobs', 'show jobs count by state'),
    ('tasks', 'show tasks count by state'),
)


@dataclasses.dataclass(frozen=True)
class Section:
    """A titled table of the status output."""

    title: str
    columns: tuple[str, ...]
    rows: tuple[tuple[messages.Cell, ...], ...]
    note: str = ''


async def show_status(
    options: _arguments.CommonOptions, streams: _run.Streams
) -> _exit_codes.ExitCode:
    """Print a summary of the entries and the fleet.

    :param options: entries and output format.
    :param streams: output streams.
    :returns: 0 if every given entry is ready and all sections are complete, 4
        if no entry responds, else 1.
    """
    async with _run.open_http_client() as http:
        client = _client.EntryClient(options.entries, http)
        states = await _readiness_by_entry(client)
        sections = [
            Section(
                'asked',
                ('url', 'state'),
                tuple((url, states[url]) for url in client.entries),
            )
        ]
        try:
            for title, query in _QUERIES:
                sections.append(
                    await _fetch_section(client, title, query, options)
                )
        except _client.NoEntryReachable as exc:
            streams.stderr.write(f'no entry reachable: {exc}\n')
            return _exit_codes.ExitCode.UNREACHABLE
    _print_sections(sections, options.output, streams)
    healthy = all(state == 'ready' for state in states.values())
    complete = not any(section.note for section in sections)
    if healthy and complete:
        return _exit_codes.ExitCode.DONE
    return _exit_codes.ExitCode.NOT_RUN


async def _readiness_by_entry(client: _client.EntryClient) -> dict[str, str]:
    states: dict[str, str] = {}

    async def fetch(url: str) -> None:
        states[url] = await client.readiness(url, READINESS_TIMEOUT_S)

    async with trio.open_nursery() as nursery:
        for url in client.entries:
            nursery.start_soon(fetch, url)
    return states


async def _fetch_section(
    client: _client.EntryClient,
    title: str,
    query: str,
    options: _arguments.CommonOptions,
) -> Section:
    reply = await client.execute(
        _run.new_command_id(), query, options.timeout_s
    )
    note = reply.message
    if reply.outcome is not outcomes.Outcome.DONE:
        note = note or reply.outcome.value
    return Section(title, reply.columns, reply.rows, note)


def _print_sections(
    sections: list[Section], output_format: str, streams: _run.Streams
) -> None:
    if output_format == 'json':
        streams.stdout.write(msgspec.json.encode(sections).decode() + '\n')
        return
    for section in sections:
        streams.stdout.write(f'{section.title}\n')
        if section.columns:
            text = _output.format_table(section.columns, section.rows)
            indented = text.rstrip('\n').replace('\n', '\n  ')
            streams.stdout.write(f'  {indented}\n')
        if section.note:
            streams.stderr.write(
                f'note: {section.title}: {_output.printable(section.note)}\n'
            )
