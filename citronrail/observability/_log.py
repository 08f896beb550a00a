"""Configures the log output of a process."""

import dataclasses
import datetime
import json
import sys
import typing

from loguru import logger

from citronrail.observability import _line_writer

WARNING_LEVEL = 30  # number of the level in loguru and logging

_TEXT_FORMAT = (
    '{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <8} {extra[process]} {message}'
)


def set_up_logging(
    level: str,
    form: str,
    process: str,
    sink: typing.TextIO | None = None,
) -> None:
    """Configure the log of one process, replacing earlier configuration.

    A JSON line has ``time`` (RFC 3339 in UTC), ``level``, ``process``,
    ``message`` and, after an exception, ``exception``.

    :param level: minimum level, such as ``INFO``.
    :param form: ``json`` for a JSON object in each line, or ``text``.
    :param process: name of the process, part of each line.
    :param sink: output stream; standard error if None.
    """
    stream = sink or sys.stderr
    logger.remove()
    logger.configure(extra={'process': process})
    if form == 'json':
        logger.add(
            lambda line: _write_json(stream, line),
            level=level,
            format='{message}',
            catch=True,
        )
    else:
        logger.add(
            stream,
            level=level,
            format=_TEXT_FORMAT,
            colorize=False,
            backtrace=False,
            diagnose=False,
        )


@dataclasses.dataclass(frozen=True)
class LineCounters:
    """Counters of the suppressed and dropped lines of a process."""

    budget: _line_writer.LineBudget
    writer: _line_writer.LineWriter


def set_up_daemon_logging(level: str, process: str) -> LineCounters:
    """Write JSON lines to standard output, rate-limited and non-blocking.

    :param level: minimum level, such as ``INFO``.
    :param process: name of the process, part of each line.
    :returns: counters of suppressed and dropped lines.
    """
    budget = _line_writer.LineBudget()
    writer = _line_writer.LineWriter(sys.stdout.fileno())

    def sink(line: typing.Any) -> None:
        event = line.record['extra'].get('event', '')
        if line.record['level'].no < WARNING_LEVEL:
            if not budget.allows(event):
                return
            _report_suppressed(writer, process, budget.take_suppressed())
        text = json.dumps(_fields_of(line), ensure_ascii=False)
        writer.write(text.encode() + b'\n')

    logger.remove()
    logger.configure(extra={'process': process})
    logger.add(sink, level=level, format='{message}', catch=True)
    return LineCounters(budget, writer)


def _report_suppressed(
    writer: _line_writer.LineWriter, process: str, suppressed: dict[str, int]
) -> None:
    for event, count in suppressed.items():
        line = {
            'level': 'WARNING',
            'process': process,
            'event': 'CR1690',
            'message': f'{count} lines of {event} were suppressed',
            'fields': {'kind': event, 'count': count},
        }
        writer.write(json.dumps(line).encode() + b'\n')


def _write_json(stream: typing.TextIO, line: typing.Any) -> None:
    stream.write(json.dumps(_fields_of(line), ensure_ascii=False) + '\n')
    stream.flush()


def _fields_of(line: typing.Any) -> dict[str, typing.Any]:
    record = line.record
    fields = {
        'time': record['time']
        .astimezone(datetime.UTC)
        .isoformat(timespec='milliseconds')
        .replace('+00:00', 'Z'),
        'level': record['level'].name,
        'process': record['extra'].get('process', ''),
        'message': record['message'],
    }
    for name in ('event', 'cause', 'fields'):
        if record['extra'].get(name):
            fields[name] = record['extra'][name]
    if record['exception'] is not None:
        fields['exception'] = repr(record['exception'].value)
    return fields
