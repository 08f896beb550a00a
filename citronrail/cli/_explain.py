"""The subcommand ``explain``, which reconstructs a job from log lines."""

import collections.abc
import dataclasses
import datetime
import json
import typing

from citronrail.cli import _exit_codes
from citronrail.cli import _explanations
from citronrail.cli import _run

ID_FIELDS = ('job', 'task')
MAX_LISTED_PROBLEMS = 5
_Role = _explanations.Role


@dataclasses.dataclass(frozen=True)
class LogLine:
    """The fields of a log line that ``explain`` needs."""

    time: str
    process: str
    event: str
    message: str
    fields: dict[str, str]

    @property
    def role(self) -> _explanations.Role | None:
        """What the line says about a job, None if nothing."""
        return _explanations.role_of(self.event)

    @property
    def run(self) -> str:
        """The run that the line is about, with its worker."""
        task, number, worker = (
            self.fields.get(name, '?') for name in ('task', 'run', 'worker')
        )
        return f'{task}#{number} on {worker}'

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
        is_context = line.role is _Role.CONTEXT and first <= line.time <= last
        if line in matching or is_context:
            marker = ' ' if line in matching else '*'
            streams.stdout.write(
                f'{line.time} {marker} {line.process} {line.message}\n'
            )
    for text in (*_submissions(matching), *_stops(matching)):
        streams.stdout.write(f'{text}\n')
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
        except (ValueError, RecursionError):
            continue
        if isinstance(raw, dict) and 'event' in raw:
            fields = raw.get('fields')
            yield LogLine(
                str(raw.get('time', '')),
                str(raw.get('process', '')),
                str(raw['event']),
                str(raw.get('message', '')),
                {name: str(value) for name, value in fields.items()}
                if isinstance(fields, dict)
                else {},
            )


def _submissions(
    matching: list[LogLine],
) -> collections.abc.Iterator[str]:
    """List the submissions, unless the job was accepted at the first one."""
    lines = [
        line
        for line in matching
        if line.role in _explanations.SUBMISSION_ROLES
    ]
    if [line.role for line in lines] == [_Role.ACCEPTED]:
        return
    for line in lines:
        text = _explanations.text_of(line.event, line.fields)
        yield f'submission at {line.process}: {text}'


def _stops(matching: list[LogLine]) -> collections.abc.Iterator[str]:
    """List the runs that were stopped, with the next run of each task."""
    for position, line in enumerate(matching):
        if line.role is not _Role.STOPPED:
            continue
        reason = _explanations.text_of(line.event, line.fields)
        following = next(
            (
                later
                for later in matching[position:]
                if later.role is _Role.STARTED
                and later.fields.get('task') == line.fields.get('task')
            ),
            None,
        )
        if following is None:
            yield f'stopped {line.run}: {reason}; not started again'
            continue
        yield (
            f'stopped {line.run}: {reason}; started again as '
            f'{following.run}{_delay(line, following)}'
        )


def _delay(earlier: LogLine, later: LogLine) -> str:
    try:
        elapsed = datetime.datetime.fromisoformat(
            later.time
        ) - datetime.datetime.fromisoformat(earlier.time)
    except (ValueError, TypeError):
        # Another program wrote the line, or without the zone of its times.
        return ''
    return f' {elapsed.total_seconds():.1f} s later'


def _cause(matching: list[LogLine]) -> str:
    """Describe the cause of the outcome or the delay of the job."""
    by_role = {line.role: line for line in matching}
    if not by_role.keys() & _explanations.ROLES_OF_STORED_JOBS:
        answers = [
            line
            for line in matching
            if line.role in (_Role.REJECTED, _Role.UNCERTAIN)
        ]
        uncertain = [line for line in answers if line.role is _Role.UNCERTAIN]
        if uncertain:
            return f'not known to be accepted: {uncertain[-1].message}'
        if answers:
            return f'not accepted: {answers[-1].message}'
    ended = by_role.get(_Role.ENDED)
    status = ended.fields.get('status', '') if ended else 'open'
    failed = [
        line
        for line in matching
        if line.role is _Role.RUN_ENDED
        and line.fields.get('how') not in ('done', 'stopped')
    ]
    if status == 'cancelled':
        return 'its caller cancelled it'
    given_up = by_role.get(_Role.GIVEN_UP)
    if status == 'failed' and given_up is not None:
        return given_up.message.removeprefix(f'{given_up.event} ')
    if status == 'failed':
        return f'its runs failed: {", ".join(line.run for line in failed)}'
    problems = [
        line
        for line in matching
        if line.role in (_Role.DELAYED, _Role.STOPPED) or line in failed
    ]
    if problems:
        return f'{status}; delayed by: ' + '; '.join(
            line.message for line in problems[:MAX_LISTED_PROBLEMS]
        )
    return f'{status}; no run failed, was refused or was stopped'
