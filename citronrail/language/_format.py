"""Formats command nodes as text that the parser accepts."""

import dataclasses
import typing

from citronrail.language import _literals
from citronrail.language import _nodes
from citronrail.language import _parser
from citronrail.model import resources
from citronrail.model import specs


def format(node: _nodes.Command) -> str:  # noqa: A001
    """Format a command in canonical form.

    :param node: any command node.
    :returns: text without a final ``;``; :func:`citronrail.language.parse`
        returns an equal node for it.
    """
    match node:
        case _nodes.Show():
            return ' '.join(_show(node))
        case _:
            words = _change(node)
            if node.expected_version is not None:
                words += ['if version', str(node.expected_version)]
            return ' '.join(words)


def without_version(node: _nodes.Change) -> str:
    """Format a change without its ``if version`` clause.

    :param node: any change.
    :returns: the canonical text, independent of the expected version.
    """
    return format(dataclasses.replace(node, expected_version=None))


def format_condition(node: _nodes.Condition) -> str:
    """Format a condition as used after ``where``.

    :param node: the condition.
    :returns: its text, with parentheses where necessary.
    """
    match node:
        case _nodes.Comparison(field, operator, value):
            return f'{field} {operator.value} {_value(value)}'
        case _nodes.Membership(field, values):
            return f'{field} in ({", ".join(_value(v) for v in values)})'
        case _nodes.And(operands):
            return ' and '.join(_operand(operand) for operand in operands)
        case _nodes.Or(operands):
            return ' or '.join(_operand(operand) for operand in operands)
        case _nodes.Not(operand):
            return f'not {_operand(operand)}'


def _operand(node: _nodes.Condition) -> str:
    text = format_condition(node)
    return f'({text})' if isinstance(node, _nodes.And | _nodes.Or) else text


def _name(text: str) -> str:
    return _literals.format_name(text, _parser.keywords())


def _value(value: _nodes.Value) -> str:
    match value:
        case bool():
            return 'true' if value else 'false'
        case int() | float():
            return repr(value)
        case str():
            return _name(value)
        case _nodes.Memory(memory_mb):
            return _literals.format_memory(memory_mb)
        case _nodes.Duration(milliseconds):
            return _literals.format_duration(milliseconds)
        case _nodes.Time(unix_s):
            return _literals.format_time(unix_s)


def _show(node: _nodes.Show) -> list[str]:
    words = ['show', node.table.value]
    if node.where is not None:
        words += ['where', format_condition(node.where)]
    if node.count_by is not None:
        words += ['count by', node.count_by]
    if node.order_by:
        keys = (
            key.field + (' desc' if key.descending else '')
            for key in node.order_by
        )
        words += ['order by', ', '.join(keys)]
    if node.limit is not None:
        words += ['limit', str(node.limit)]
    return words


def _change(node: _nodes.Change) -> list[str]:
    match node:
        case _nodes.StartJob(spec):
            return _start_job(spec)
        case _nodes.StartService(spec):
            return _start_service(spec)
        case _nodes.StopJob(name):
            return ['stop job', _name(name)]
        case _nodes.StopService(name):
            return ['stop service', _name(name)]
        case _nodes.Drain(place, name, unseen):
            words = ['drain', place.value, _name(name)]
            return words + (['unseen'] if unseen else [])
        case _nodes.Return(place, name):
            return ['return', place.value, _name(name)]
        case _nodes.ChangeService():
            return _change_service(node)
        case _nodes.ChangeTeam():
            return _change_team(node)
        case _nodes.ChangePolicy():
            return _change_policy(node)
        case _nodes.Cancel(table, where):
            return ['cancel', table.value, 'where', format_condition(where)]


def _start_job(spec: specs.JobSpec) -> list[str]:
    words = ['start job', _name(spec.job_id), 'team', _name(spec.team)]
    words += ['class', _name(spec.work_class)]
    words += ['tasks', str(spec.task_count), *_resources(spec.resources)]
    words += ['run time', _seconds(spec.declared_run_s)]
    match spec.priority:
        case specs.Priority.URGENT:
            words.append('urgent')
        case specs.Priority.LOW:
            words.append('low priority')
    if spec.exclusive:
        words.append('exclusive')
    if not spec.checkpointable:
        words.append('no checkpoint')
    words += _data_centres(spec.data_centres)
    if spec.finish_before is not None:
        words += ['before', _literals.format_time(spec.finish_before)]
    if spec.argument:
        words += ['argument', _literals.format_string(spec.argument)]
    return words


def _start_service(spec: specs.ServiceSpec) -> list[str]:
    words = ['start service', _name(spec.name), 'team', _name(spec.team)]
    words += ['class', _name(spec.work_class)]
    words += ['replicas', str(spec.replicas), *_resources(spec.resources)]
    words += ['run time', _seconds(spec.max_run_s)]
    words += ['latency target', _latency(spec.latency_target_ms)]
    return words + _data_centres(spec.data_centres)


def _change_service(node: _nodes.ChangeService) -> list[str]:
    options: list[tuple[str, str | None]] = [
        ('team', _optional(node.team, _name)),
        ('class', _optional(node.work_class, _name)),
        ('replicas', _optional(node.replicas, str)),
        ('cores', _optional(node.millicores, _literals.format_cores)),
        ('memory', _optional(node.memory_mb, _literals.format_memory)),
        ('accelerators', _optional(node.accelerators, str)),
        ('run time', _optional(node.max_run_s, _seconds)),
        ('latency target', _optional(node.latency_target_ms, _latency)),
    ]
    words = ['change service', _name(node.name)]
    for key, text in options:
        if text is not None:
            words += [key, text]
    return words + _data_centres(node.data_centres or ())


def _change_team(node: _nodes.ChangeTeam) -> list[str]:
    words = ['change team', _name(node.name)]
    if node.quota is not None:
        words += ['quota', *_resources(node.quota)]
    if node.may_borrow is not None:
        words.append('borrow' if node.may_borrow else 'no borrow')
    return words


def _change_policy(node: _nodes.ChangePolicy) -> list[str]:
    words = ['change', node.kind.value, 'policy', _name(node.name)]
    if node.parameters:
        settings = (
            f'{_name(name)} = {_value(value)}'
            for name, value in node.parameters
        )
        words += ['with', ', '.join(settings)]
    return words


def _resources(amount: resources.Resources) -> list[str]:
    words = ['cores', _literals.format_cores(amount.millicores)]
    words += ['memory', _literals.format_memory(amount.memory_mb)]
    if amount.accelerators:
        words += ['accelerators', str(amount.accelerators)]
    return words


def _data_centres(names: typing.Iterable[str]) -> list[str]:
    listed = ', '.join(_name(name) for name in names)
    return ['data centres', listed] if listed else []


def _seconds(seconds: float) -> str:
    return _literals.format_duration(round(seconds * 1000))


def _latency(milliseconds: float) -> str:
    return _literals.format_duration(round(milliseconds))


T = typing.TypeVar('T')


def _optional(
    value: T | None, writer: typing.Callable[[T], str]
) -> str | None:
    return None if value is None else writer(value)
