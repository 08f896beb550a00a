"""Builds command nodes while the parser reads."""

import collections.abc
import dataclasses
import typing

import lark

from citronrail.language import _literals
from citronrail.language import _nodes
from citronrail.model import identifiers
from citronrail.model import resources
from citronrail.model import specs

MAX_CONDITION_DEPTH = 40
MAX_COUNT = 1_000_000
DEFAULT_MEMORY_MB = 1024
T = typing.TypeVar('T')
Children = list[typing.Any]


class Misplaced(ValueError):
    """Text with the right form but a wrong meaning.

    :param message: what is wrong.
    :param token: where it stands; None for the start of the text.
    """

    def __init__(self, message: str, token: lark.Token | None) -> None:
        super().__init__(message)
        self.message = message
        self.token = token


@dataclasses.dataclass(frozen=True)
class _Option:
    key: str
    value: typing.Any
    token: lark.Token


@dataclasses.dataclass(frozen=True)
class _Named:
    text: str
    token: lark.Token


def _read(token: lark.Token, reader: collections.abc.Callable[[str], T]) -> T:
    try:
        return reader(str(token))
    except (ValueError, ArithmeticError) as exc:
        raise Misplaced(str(exc), token) from exc


def _count(token: lark.Token, least: int) -> int:
    value = _read(token, _literals.number)
    if not isinstance(value, int) or not least <= value <= MAX_COUNT:
        raise Misplaced(
            f'expected a whole number from {least} to {MAX_COUNT}', token
        )
    return value


def _unique(
    options: collections.abc.Iterable[_Option],
) -> dict[str, typing.Any]:
    found: dict[str, typing.Any] = {}
    for option in options:
        if option.key in found:
            raise Misplaced(f'{option.token} is given twice', option.token)
        found[option.key] = option.value
    return found


def _resources(found: dict[str, typing.Any]) -> resources.Resources:
    return resources.Resources(
        found.pop('millicores', _literals.MILLICORES_PER_CORE),
        found.pop('memory_mb', DEFAULT_MEMORY_MB),
        found.pop('accelerators', 0),
    )


def _require(
    found: dict[str, typing.Any], name: _Named, *keys: tuple[str, str]
) -> None:
    for key, words in keys:
        if key not in found:
            raise Misplaced(f'"{words}" is missing', name.token)


def _bounded(
    condition: _nodes.Condition, token: lark.Token | None = None
) -> _nodes.Condition:
    """Refuse nesting on which recursive functions would fail."""
    if _depth(condition) > MAX_CONDITION_DEPTH:
        raise Misplaced('the condition is nested too deeply', token)
    return condition


def _depth(condition: _nodes.Condition) -> int:
    match condition:
        case _nodes.And(operands) | _nodes.Or(operands):
            return 1 + max(_depth(operand) for operand in operands)
        case _nodes.Not(operand):
            return 1 + _depth(operand)
    return 1


class Builder(lark.Transformer[lark.Token, typing.Any]):
    """Callbacks of the parser, one for each rule of the grammar."""

    def script(self, children: Children) -> tuple[_nodes.Command, ...]:
        return tuple(children)

    def guarded(self, children: Children) -> _nodes.Command:
        change, *version = children
        if not version:
            return typing.cast(_nodes.Command, change)
        return typing.cast(
            _nodes.Command,
            dataclasses.replace(change, expected_version=version[0]),
        )

    def if_version(self, children: Children) -> int:
        return _count_version(children[0])

    # Queries

    def show(self, children: Children) -> _nodes.Show:
        table, *clauses = children
        return _nodes.Show(table, **_unique(clauses))

    def table(self, children: Children) -> _nodes.TableName:
        token = children[0]
        match token.type:
            case 'DATA_CENTRE':
                return _nodes.TableName.DATA_CENTRES
            case 'BACKEND_SERVERS':
                return _nodes.TableName.BACKEND_SERVERS
        return _nodes.TableName(str(token))

    def where(self, children: Children) -> _Option:
        return _Option('where', children[1], children[0])

    def order_by(self, children: Children) -> _Option:
        return _Option('order_by', tuple(children[1:]), children[0])

    def order_key(self, children: Children) -> _nodes.OrderKey:
        field, *direction = children
        return _nodes.OrderKey(field, direction == ['desc'])

    def direction(self, children: Children) -> str:
        return str(children[0])

    def limit(self, children: Children) -> _Option:
        return _Option('limit', _count(children[1], 0), children[0])

    def count_by(self, children: Children) -> _Option:
        return _Option('count_by', children[1], children[0])

    def disjunction(self, children: Children) -> _nodes.Condition:
        if len(children) == 1:
            return typing.cast(_nodes.Condition, children[0])
        return _bounded(_nodes.Or(tuple(children)))

    def conjunction(self, children: Children) -> _nodes.Condition:
        if len(children) == 1:
            return typing.cast(_nodes.Condition, children[0])
        return _bounded(_nodes.And(tuple(children)))

    def negation(self, children: Children) -> _nodes.Condition:
        token, operand = children
        return _bounded(_nodes.Not(operand), token)

    def comparison(self, children: Children) -> _nodes.Comparison:
        field, operator, value = children
        node = _nodes.Comparison(field, _nodes.Operator(str(operator)), value)
        if node.operator is _nodes.Operator.MATCHES:
            if not isinstance(value, str):
                raise Misplaced('"~" needs a quoted pattern', operator)
            try:
                _literals.check_pattern(value)
            except ValueError as exc:
                raise Misplaced(str(exc), operator) from exc
        return node

    def membership(self, children: Children) -> _nodes.Membership:
        return _nodes.Membership(children[0], tuple(children[1:]))

    def field(self, children: Children) -> str:
        token = children[0]
        match token.type:
            case 'DATA_CENTRE':
                return 'data_centre'
            case 'BACKEND_SERVERS':
                return 'backend_servers'
        return str(token)

    def value(self, children: Children) -> _nodes.Value:
        token = children[0]
        match token.type:
            case 'MEMORY':
                return _nodes.Memory(_read(token, _literals.memory_mb))
            case 'DURATION':
                return _nodes.Duration(_read(token, _literals.duration_ms))
            case 'TIME':
                return _nodes.Time(_read(token, _literals.unix_time))
        return self.plain_value(children)

    def plain_value(self, children: Children) -> str | int | float | bool:
        token = children[0]
        match token.type:
            case 'STRING':
                return _read(token, _literals.string)
            case 'NUMBER':
                return _read(token, _literals.number)
            case 'NAME':
                return str(token)
        return str(token) == 'true'

    # Options

    def name(self, children: Children) -> _Named:
        token = children[0]
        if token.type == 'STRING':
            return _Named(_read(token, _literals.string), token)
        return _Named(str(token), token)

    def team(self, children: Children) -> _Option:
        return _Option('team', children[1].text, children[0])

    def work_class(self, children: Children) -> _Option:
        return _Option('work_class', children[1].text, children[0])

    def tasks(self, children: Children) -> _Option:
        return _Option('task_count', _count(children[1], 1), children[0])

    def replicas(self, children: Children) -> _Option:
        return _Option('replicas', _count(children[1], 0), children[0])

    def cores(self, children: Children) -> _Option:
        amount = _read(children[1], _literals.millicores)
        if amount < 0:
            raise Misplaced('cores can not be negative', children[1])
        return _Option('millicores', amount, children[0])

    def memory(self, children: Children) -> _Option:
        amount = _read(children[1], _literals.memory_mb)
        return _Option('memory_mb', amount, children[0])

    def accelerators(self, children: Children) -> _Option:
        return _Option('accelerators', _count(children[1], 0), children[0])

    def run_time(self, children: Children) -> _Option:
        return _Option('run_ms', _positive_ms(children[1]), children[0])

    def latency(self, children: Children) -> _Option:
        return _Option('latency_ms', _positive_ms(children[1]), children[0])

    def urgent(self, children: Children) -> _Option:
        return _Option('priority', specs.Priority.URGENT, children[0])

    def low(self, children: Children) -> _Option:
        return _Option('priority', specs.Priority.LOW, children[0])

    def exclusive(self, children: Children) -> _Option:
        return _Option('exclusive', True, children[0])

    def no_checkpoint(self, children: Children) -> _Option:
        return _Option('checkpointable', False, children[0])

    def data_centres(self, children: Children) -> _Option:
        names = tuple(name.text for name in children[1:])
        for name in children[1:]:
            if names.count(name.text) > 1:
                raise Misplaced('a data centre is named twice', name.token)
        return _Option('data_centres', names, children[0])

    def before(self, children: Children) -> _Option:
        time = _read(children[1], _literals.unix_time)
        return _Option('finish_before', time, children[0])

    def argument(self, children: Children) -> _Option:
        return _Option('argument', children[1].text, children[0])

    # Work

    def start_job(self, children: Children) -> _nodes.StartJob:
        name, *options = children
        found = _unique(options)
        _require(found, name, ('team', 'team'), ('work_class', 'class'))
        found.setdefault('task_count', 1)
        if 'run_ms' in found:
            found['declared_run_s'] = found.pop('run_ms') / 1000
        return _nodes.StartJob(
            specs.JobSpec(
                identifiers.JobId(name.text),
                resources=_resources(found),
                **found,
            )
        )

    def start_service(self, children: Children) -> _nodes.StartService:
        name, *options = children
        found = _unique(options)
        _require(found, name, ('team', 'team'), ('work_class', 'class'))
        found.setdefault('replicas', 1)
        return _nodes.StartService(
            specs.ServiceSpec(
                identifiers.ServiceName(name.text),
                resources=_resources(found),
                **_service_times(found),
            )
        )

    def stop_job(self, children: Children) -> _nodes.StopJob:
        return _nodes.StopJob(children[0].text)

    def stop_service(self, children: Children) -> _nodes.StopService:
        return _nodes.StopService(children[0].text)

    def cancel(self, children: Children) -> _nodes.Cancel:
        return _nodes.Cancel(children[0], children[1].value)

    def cancelled(self, children: Children) -> _nodes.TableName:
        return _nodes.TableName(str(children[0]))

    # Configuration

    def drain(self, children: Children) -> _nodes.Drain:
        place, name, *unseen = children
        return _nodes.Drain(place, name.text, bool(unseen))

    def unseen(self, children: Children) -> bool:
        return bool(children)

    def return_(self, children: Children) -> _nodes.Return:
        return _nodes.Return(children[0], children[1].text)

    def place(self, children: Children) -> _nodes.Place:
        token = children[0]
        if token.type == 'DATA_CENTRE':
            return _nodes.Place.DATA_CENTRE
        return _nodes.Place(str(token))

    def change_service(self, children: Children) -> _nodes.ChangeService:
        name, *options = children
        return _nodes.ChangeService(
            name.text, **_service_times(_unique(options))
        )

    def change_team(self, children: Children) -> _nodes.ChangeTeam:
        name, *options = children
        return _nodes.ChangeTeam(name.text, **_unique(options))

    def quota(self, children: Children) -> _Option:
        found = {'millicores': 0, 'memory_mb': 0, **_unique(children[1:])}
        return _Option('quota', _resources(found), children[0])

    def borrow(self, children: Children) -> _Option:
        return _Option('may_borrow', True, children[0])

    def no_borrow(self, children: Children) -> _Option:
        return _Option('may_borrow', False, children[0])

    def change_policy(self, children: Children) -> _nodes.ChangePolicy:
        kind, name, *settings = children
        parameters = _unique(settings)
        return _nodes.ChangePolicy(
            kind, name.text, tuple(sorted(parameters.items()))
        )

    def policy_kind(self, children: Children) -> _nodes.PolicyKind:
        return _nodes.PolicyKind(str(children[0]))

    def setting(self, children: Children) -> _Option:
        name, value = children
        return _Option(name.text, value, name.token)


def _count_version(token: lark.Token) -> int:
    value = _read(token, _literals.number)
    if not isinstance(value, int) or value < 0:
        raise Misplaced('expected a settings version', token)
    return value


def _positive_ms(token: lark.Token) -> int:
    value = _read(token, _literals.duration_ms)
    if value < 1:
        raise Misplaced('expected a time above zero', token)
    return value


def _service_times(found: dict[str, typing.Any]) -> dict[str, typing.Any]:
    if 'run_ms' in found:
        found['max_run_s'] = found.pop('run_ms') / 1000
    if 'latency_ms' in found:
        found['latency_target_ms'] = float(found.pop('latency_ms'))
    return found
