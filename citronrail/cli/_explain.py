"""The subcommand ``explain``, which reconstructs a job from log lines."""

import collections.abc
import dataclasses
import json
import typing

from citronrail.cli import _exit_codes
from citronrail.cli import _run

ID_FIELDS = ('job', 'task')
# Events that affect later decisions on any job.
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
        'CR1748',
    }
)


@dataclasses.dataclass(frozen=True)
class LogLine:
    """The fields of a log line that ``explain`` needs."""

    time: str
    process: str
    event: str
    message: str
    fields: dict[str, str]

    def refers_to(self, requested_id: str) -> bool:
        """Return whether the line refers to a job or one of its tasks."""
        return any(
            self.fields.get(name, '').split('.')[0]
            == requested_id.split('.')[0]
            and self.fields.get(name, '').startswith(requested_id)
            for name in ID_FIELDS
        )


def explain(
    requested_id: str,
    sources: collections.abc.Iterable[typing.Iterable[str]],
    streams: _run.Streams,
) -> _exit_codes.ExitCode:
    """Print the decisions on a job and the events that affected them.

    :param requested_id: id of a job, or name of a task.
    :param sources: lines of the log of each process.
    :param streams: output streams.
    :returns: ``NOT_RUN`` if no line refers to the job or task.
    """
    lines = sorted(
        (line for source in sources for line in _parse_lines(source)),
        key=lambda line: line.time,
    )
    matching = [line for line in lines if line.refers_to(requested_id)]
    if not matching:
        streams.stderr.write(f'no log line refers to {requested_id}\n')
        return _exit_codes.ExitCode.NOT_RUN
    first, last = matching[0].time, matching[-1].time
    for line in lines:
        is_context = (
            line.event in CONTEXT_EVENTS and first <= line.time <= last
        )
        if line in matching or is_context:
            marker = ' ' if line in matching else '*'
            streams.stdout.write(
                f'{line.time} {marker} {line.process} {line.message}\n'
            )
    streams.stdout.write(f'cause: {_cause(matching)}\n')
    return _exit_codes.ExitCode.DONE


def _parse_lines(
    source: typing.Iterable[str],
) -> collections.abc.Iterator[LogLine]:
    """Parse JSON log lines and skip any text before the object."""
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


def _cause(matching: list[LogLine]) -> str:
    """Describe the cause of the outcome or the delay of the job."""
    by_event = {line.event: line for line in matching}
    ended = by_event.get('CR1724')
    if 'CR1720' not in by_event:
        refused = by_event.get('CR1721') or by_event.get('CR1722')
        if refused is not None:
            return f'not accepted: {refused.message}'
    problems = [
        line
        for line in matching
        if line.event in ('CR1732', 'CR1733', 'CR1734', 'CR1744')
        or (
            line.event == 'CR1731'
            and line.fields.get('how') not in ('done', 'stopped')
        )
    ]
    status = ended.fields.get('status', '') if ended else 'open'
    if status == 'cancelled':
        return 'its caller cancelled it'
    if status == 'failed' and 'CR1750' in by_event:
        return by_event['CR1750'].message.removeprefix('CR1750 ')
    if status == 'failed':
        failed = [line for line in problems if line.event == 'CR1731']
        runs = ', '.join(
            f'{line.fields["task"]}#{line.fields["run"]} on '
            f'{line.fields["worker"]}'
            for line in failed
        )
        return f'its runs failed: {runs}'
    if problems:
        return f'{status}; delayed by: ' + '; '.join(
            line.message for line in problems[:5]
        )
    return f'{status}; no run failed, was refused or was stopped'
