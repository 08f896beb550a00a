"""Sets up what a process writes to standard error."""

import datetime
import json
import sys
import typing

from loguru import logger

_TEXT_FORMAT = (
    '{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <8} {extra[process]} {message}'
)


def set_up_logging(
    level: str,
    form: str,
    process: str,
    sink: typing.TextIO | None = None,
) -> None:
    """Write log lines of one process, replacing earlier set-ups.

    A JSON line has ``time`` (RFC 3339 in UTC), ``level``, ``process``,
    ``message`` and, after an exception, ``exception``.

    :param level: least level written, such as ``INFO``.
    :param form: ``json`` for a JSON object in each line, or ``text``.
    :param process: name of the process, part of each line.
    :param sink: where to write; standard error if None.
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


def _write_json(stream: typing.TextIO, line: typing.Any) -> None:
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
    if record['exception'] is not None:
        fields['exception'] = repr(record['exception'].value)
    stream.write(json.dumps(fields, ensure_ascii=False) + '\n')
    stream.flush()
