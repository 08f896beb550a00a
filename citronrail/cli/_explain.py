"""The subcommand that explains a job or task from log lines."""

import collections.abc
import dataclasses
import json
import typing

from citronrail.cli import _exit_codes
from citronrail.cli import _run

ID_FIELDS = ('job', 'task')
# Lines that change what later decisions rest on, whatever the job.
CONTEXT_EVENTS = frozenset(
    {
        'CR1201',
        'CR1701',
        'CR1702',
        'CR1704',
        'CR1706',
        'CR1710',
        'CR1711',
        'CR1712',
        'CR1742',
        'CR1743',
    }
)


@dataclasses.dataclass(frozen=True)
class LogLine:
    """A line of a process, as far as it is needed here."""

    time: str
    process: str
    event: str
    message: str
    fields: dict[str, str]

    def names(self, wanted: str) -> bool:
        """Whether the line is about a job, or about a task of it."""
        return any(
            self.fields.get(name, '').split('.')[0] == wanted.split('.')[0]
            and self.fields.get(name, '').startswith(wanted)
            for name in ID_FIELDS
        )


def explain(
    wanted: str,
    sources: collections.abc.Iterable[typing.Iterable[str]],
    streams: _run.Streams,
) -> _exit_codes.ExitCode:
    """Print what was decided about a job and what it rested on.

    :param wanted: id of a job, or name of a task.
    :param sources: lines of the processes' logs.
    :param streams: where to write.
    :returns: ``NOT_RUN`` if no line names it.
    """
    lines = sorted(
        (line for source in sources for line in _parse(source)),
        key=lambda line: line.time,
    )
    own = [line for line in lines if line.names(wanted)]
    if not own:
        streams.stderr.write(f'no line names {wanted}\n')
        return _exit_codes.ExitCode.NOT_RUN
    first, last = own[0].time, own[-1].time
    for line in lines:
        context = line.event in CONTEXT_EVENTS and first <= line.time <= last
        if line in own or context:
            mark = ' ' if line in own else '*'
            streams.stdout.write(
                f'{line.time} {mark} {line.process} {line.message}\n'
            )
    streams.stdout.write(f'cause: {_cause(own)}\n')
    return _exit_codes.ExitCode.DONE


def _parse(
    source: typing.Iterable[str],
) -> collections.abc.Iterator[LogLine]:
    """Read JSON lines; text before the object is passed over."""
    for text in source:
        start = text.find('{')
        if start < 0:
            continue
        try:
            raw = json.loads(text[start:])
        except ValueError:
            continue
        if isinstance(raw, dict) and 'event' in raw:
            yield LogLine(
                str(raw.get('time', '')),
                str(raw.get('process', '')),
                str(raw['event']),
                str(raw.get('message', '')),
                raw.get('fields') or {},
            )


def _cause(own: list[LogLine]) -> str:
    """Name the line that decided how the job fared."""
    by_event = {line.event: line for line in own}
    ended = by_event.get('CR1724')
    if 'CR1720' not in by_event:
        refused = by_event.get('CR1721') or by_event.get('CR1722')
        if refused is not None:
            return f'not accepted: {refused.message}'
    troubles = [
        line
        for line in own
        if line.event in ('CR1732', 'CR1733', 'CR1734', 'CR1744')
        or (
            line.event == 'CR1731'
            and line.fields.get('how') not in ('done', 'stopped')
        )
    ]
    status = ended.fields.get('status', '') if ended else 'open'
    if status == 'cancelled':
        return 'its caller cancelled it'
    if status == 'failed':
        failed = [line for line in troubles if line.event == 'CR1731']
        runs = ', '.join(
            f'{line.fields["task"]}#{line.fields["run"]} on '
            f'{line.fields["worker"]}'
            for line in failed
        )
        return f'its runs failed: {runs}'
    if troubles:
        return f'{status}; delayed by: ' + '; '.join(
            line.message for line in troubles[:5]
        )
    return f'{status}; no run failed, was refused or was stopped'
