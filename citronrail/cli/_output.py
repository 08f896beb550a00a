"""Formats replies as tables or JSON."""

import collections.abc
import datetime
import typing

import msgspec

from citronrail.model import messages
from citronrail.model import outcome as outcomes

_TIMESTAMP_SUFFIXES = ('_at', '_before')
EMPTY_CELL = '-'


def print_reply(
    reply: messages.CommandReply,
    output_format: str,
    stdout: typing.TextIO,
    stderr: typing.TextIO,
) -> None:
    """Print a reply.

    :param reply: the reply.
    :param output_format: ``json`` for one JSON object on a line, or ``table``.
    :param stdout: stream for results.
    :param stderr: stream for notes and errors, with ``table`` only.
    """
    if output_format == 'json':
        stdout.write(msgspec.json.encode(reply).decode() + '\n')
        return
    if reply.columns:
        stdout.write(format_table(reply.columns, reply.rows))
        if reply.more:
            stderr.write(
                f'only the first {len(reply.rows)} rows are shown; narrow '
                f'the query with "where" or "limit"\n'
            )
        if reply.message:
            stderr.write(f'note: {printable(reply.message)}\n')
        return
    match reply.outcome:
        case outcomes.Outcome.DONE:
            stdout.write(f'done: {printable(reply.message)}\n')
        case outcomes.Outcome.NOT_RUN:
            stderr.write(f'not run: {printable(reply.message)}\n')
        case outcomes.Outcome.UNKNOWN:
            stderr.write(
                f'unknown: {printable(reply.message)}\n'
                f'to find out, repeat it with: '
                f'--command-id {reply.command_id}\n'
            )


def format_table(
    columns: collections.abc.Sequence[str],
    rows: collections.abc.Iterable[collections.abc.Sequence[messages.Cell]],
) -> str:
    """Format rows as a table with aligned columns.

    :param columns: column names.
    :param rows: the cells; numeric columns are right-aligned.
    :returns: lines, starting with the column names.
    """
    body = [
        [
            _format_cell(name, cell)
            for name, cell in zip(columns, row, strict=True)
        ]
        for row in rows
    ]
    numeric = [
        all(_is_number(row[position]) for row in body) and bool(body)
        for position in range(len(columns))
    ]
    widths = [
        max([len(name), *(len(row[position]) for row in body)])
        for position, name in enumerate(columns)
    ]
    lines = []
    for row in [list(columns), *body]:
        cells = [
            cell.rjust(width) if align_right else cell.ljust(width)
            for cell, width, align_right in zip(
                row, widths, numeric, strict=True
            )
        ]
        lines.append('  '.join(cells).rstrip())
    return '\n'.join(lines) + '\n'


def _is_number(text: str) -> bool:
    return text == EMPTY_CELL or text.replace('.', '', 1).isdigit()


def _format_cell(name: str, cell: messages.Cell) -> str:
    match cell:
        case None | '':
            return EMPTY_CELL
        case bool():
            return 'yes' if cell else 'no'
        case int() | float() if name.endswith(_TIMESTAMP_SUFFIXES):
            return _format_time(cell)
        case float():
            return f'{cell:.6g}'
    return printable(str(cell))


def _format_time(unix_s: float) -> str:
    try:
        timestamp = datetime.datetime.fromtimestamp(unix_s, datetime.UTC)
    except (ValueError, OverflowError, OSError):
        return str(unix_s)
    return timestamp.isoformat(timespec='seconds').replace('+00:00', 'Z')


def printable(text: str) -> str:
    """Replace control characters so that they don't reach the terminal.

    :param text: text from another process.
    :returns: the text; newlines are kept.
    """
    return ''.join(
        char
        if char.isprintable() or char == '\n'
        else '\N{REPLACEMENT CHARACTER}'
        for char in text
    )
