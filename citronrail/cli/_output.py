"""Prints replies as tables or JSON."""

import collections.abc
import datetime
import typing

import msgspec

from citronrail.model import messages
from citronrail.model import outcome as outcomes

_TIME_ENDINGS = ('_at', '_before')
ABSENT = '-'


def print_reply(
    reply: messages.CommandReply,
    form: str,
    stdout: typing.TextIO,
    stderr: typing.TextIO,
) -> None:
    """Print a reply.

    :param reply: the reply.
    :param form: ``json`` for one JSON object in a line, or ``table``.
    :param stdout: gets results.
    :param stderr: gets notes and what went wrong, in the form ``table``.
    """
    if form == 'json':
        stdout.write(msgspec.json.encode(reply).decode() + '\n')
        return
    if reply.columns:
        stdout.write(table(reply.columns, reply.rows))
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


def table(
    columns: collections.abc.Sequence[str],
    rows: collections.abc.Iterable[collections.abc.Sequence[messages.Cell]],
) -> str:
    """Lay out rows in aligned columns.

    :param columns: their names.
    :param rows: the cells; numbers are set to the right.
    :returns: lines, with the names first.
    """
    body = [
        [_cell(name, cell) for name, cell in zip(columns, row, strict=True)]
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
            cell.rjust(width) if right else cell.ljust(width)
            for cell, width, right in zip(row, widths, numeric, strict=True)
        ]
        lines.append('  '.join(cells).rstrip())
    return '\n'.join(lines) + '\n'


def _is_number(text: str) -> bool:
    return text == ABSENT or text.replace('.', '', 1).isdigit()


def _cell(name: str, cell: messages.Cell) -> str:
    match cell:
        case None | '':
            return ABSENT
        case bool():
            return 'yes' if cell else 'no'
        case int() | float() if name.endswith(_TIME_ENDINGS):
            return _time(cell)
        case float():
            return f'{cell:.6g}'
    return printable(str(cell))


def _time(unix_s: float) -> str:
    try:
        time = datetime.datetime.fromtimestamp(unix_s, datetime.UTC)
    except (ValueError, OverflowError, OSError):
        return str(unix_s)
    return time.isoformat(timespec='seconds').replace('+00:00', 'Z')


def printable(text: str) -> str:
    """Replace characters that could control a terminal.

    :param text: text from another process.
    :returns: the text; line breaks are kept.
    """
    return ''.join(
        char
        if char.isprintable() or char == '\n'
        else '\N{REPLACEMENT CHARACTER}'
        for char in text
    )
