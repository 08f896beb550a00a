"""Builds command nodes while the parser reads."""

import dataclasses
import typing

import lark

from citronrail.language import _literals
from citronrail.language import _nodes
from citronrail.language import _reading
from citronrail.model import identifiers
from citronrail.model import specs

Children = list[typing.Any]


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
        return _reading.count_version(children[0])

    # Queries

    def show(self, children: Children) -> _nodes.Show:
        table, *clauses = children
        return _nodes.Show(table, **_reading.unique(clauses))

    def table(self, children: Children) -> _nodes.TableName:
        token = children[0]
        match token.type:
            case 'DATA_CENTRE':
                return _nodes.TableName.DATA_CENTRES
            case 'BACKEND_SERVERS':
                return _nodes.TableName.BACKEND_SERVERS
        return _nodes.TableName(str(token))

    def where(self, children: Children) -> _reading.Option:
        return _reading.Option('where', children[1], children[0])

    def order_by(self, children: Children) -> _reading.Option:
        return _reading.Option('order_by', tuple(children[1:]), children[0])

    def order_key(self, children: Children) -> _nodes.OrderKey:
        field, *direction = children
        return _nodes.OrderKey(field, direction == ['desc'])

    def direction(self, children: Children) -> str:
        return str(children[0])

    def limit(self, children: Children) -> _reading.Option:
        return _reading.Option(
            'limit', _reading.count(children[1], 0), children[0]
        )

    def count_by(self, children: Children) -> _reading.Option:
        return _reading.Option('count_by', children[1], children[0])

    def disjunction(self, children: Children) -> _nodes.Condition:
        if len(children) == 1:
            return typing.cast(_nodes.Condition, children[0])
        return _reading.bounded(_nodes.Or(tuple(children)))

    def conjunction(self, children: Children) -> _nodes.Condition:
        if len(children) == 1:
            return typing.cast(_nodes.Condition, children[0])
        return _reading.bounded(_nodes.And(tuple(children)))

    def negation(self, children: Children) -> _nodes.Condition:
        token, operand = children
        return _reading.bounded(_nodes.Not(operand), token)

    def comparison(self, children: Children) -> _nodes.Comparison:
        field, operator, value = children
        node = _nodes.Comparison(field, _nodes.Operator(str(operator)), value)
        if node.operator is _nodes.Operator.MATCHES:
            if not isinstance(value, str):
                raise _reading.Misplaced(
                    '"~" needs a quoted pattern', operator
                )
            try:
                _literals.check_pattern(value)
            except ValueError as exc:
                raise _reading.Misplaced(str(exc), operator) from exc
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
                return _nodes.Memory(_reading.read(token, _literals.memory_mb))
            case 'DURATION':
                return _nodes.Duration(
                    _reading.read(token, _literals.duration_ms)
                )
            case 'TIME':
                return _nodes.Time(_reading.read(token, _literals.unix_time))
        return self.plain_value(children)

    def plain_value(self, children: Children) -> str | int | float | bool:
        token = children[0]
        match token.type:
            case 'STRING':
                return _reading.read(token, _literals.string)
            case 'NUMBER':
                return _reading.read(token, _literals.number)
            case 'NAME':
                return str(token)
        return str(token) == 'true'

    # Options

    def name(self, children: Children) -> _reading.Named:
        token = children[0]
        if token.type == 'STRING':
            return _reading.Named(
                _reading.read(token, _literals.string), token
            )
        return _reading.Named(str(token), token)

    def team(self, children: Children) -> _reading.Option:
        return _reading.Option('team', children[1].text, children[0])

    def work_class(self, children: Children) -> _reading.Option:
        return _reading.Option('work_class', children[1].text, children[0])

    def tasks(self, children: Children) -> _reading.Option:
        return _reading.Option(
            'task_count', _reading.count(children[1], 1), children[0]
        )

    def replicas(self, children: Children) -> _reading.Option:
        return _reading.Option(
            'replicas', _reading.count(children[1], 0), children[0]
        )

    def cores(self, children: Children) -> _reading.Option:
        amount = _reading.read(children[1], _literals.millicores)
        if amount < 0:
            raise _reading.Misplaced('cores can not be negative', children[1])
        return _reading.Option('millicores', amount, children[0])

    def memory(self, children: Children) -> _reading.Option:
        amount = _reading.read(children[1], _literals.memory_mb)
        return _reading.Option('memory_mb', amount, children[0])

    def accelerators(self, children: Children) -> _reading.Option:
        return _reading.Option(
            'accelerators', _reading.count(children[1], 0), children[0]
        )

    def run_time(self, children: Children) -> _reading.Option:
        return _reading.Option(
            'run_ms', _reading.positive_ms(children[1]), children[0]
        )

    def latency(self, children: Children) -> _reading.Option:
        return _reading.Option(
            'latency_ms', _reading.positive_ms(children[1]), children[0]
        )

    def urgent(self, children: Children) -> _reading.Option:
        return _reading.Option('priority', specs.Priority.URGENT, children[0])

    def low(self, children: Children) -> _reading.Option:
        return _reading.Option('priority', specs.Priority.LOW, children[0])

    def exclusive(self, children: Children) -> _reading.Option:
        return _reading.Option('exclusive', True, children[0])

    def no_checkpoint(self, children: Children) -> _reading.Option:
        return _reading.Option('checkpointable', False, children[0])

    def data_centres(self, children: Children) -> _reading.Option:
        names = tuple(name.text for name in children[1:])
        for name in children[1:]:
            if names.count(name.text) > 1:
                raise _reading.Misplaced(
                    'a data centre is named twice', name.token
                )
        return _reading.Option('data_centres', names, children[0])

    def before(self, children: Children) -> _reading.Option:
        time = _reading.read(children[1], _literals.unix_time)
        return _reading.Option('finish_before', time, children[0])

    def argument(self, children: Children) -> _reading.Option:
        return _reading.Option('argument', children[1].text, children[0])

    # Work

    def start_job(self, children: Children) -> _nodes.StartJob:
        name, *options = children
        found = _reading.unique(options)
        _reading.require(
            found, name, ('team', 'team'), ('work_class', 'class')
        )
        found.setdefault('task_count', 1)
        if 'run_ms' in found:
            found['declared_run_s'] = found.pop('run_ms') / 1000
        return _nodes.StartJob(
            specs.JobSpec(
                identifiers.JobId(name.text),
                resources=_reading.resources_of(found),
                **found,
            )
        )

    def start_service(self, children: Children) -> _nodes.StartService:
        name, *options = children
        found = _reading.unique(options)
        _reading.require(
            found, name, ('team', 'team'), ('work_class', 'class')
        )
        found.setdefault('replicas', 1)
        return _nodes.StartService(
            specs.ServiceSpec(
                identifiers.ServiceName(name.text),
                resources=_reading.resources_of(found),
                **_reading.service_times(found),
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
            name.text, **_reading.service_times(_reading.unique(options))
        )

    def change_team(self, children: Children) -> _nodes.ChangeTeam:
        name, *options = children
        return _nodes.ChangeTeam(name.text, **_reading.unique(options))

    def quota(self, children: Children) -> _reading.Option:
        found = {
            'millicores': 0,
            'memory_mb': 0,
            **_reading.unique(children[1:]),
        }
        return _reading.Option(
            'quota', _reading.resources_of(found), children[0]
        )

    def borrow(self, children: Children) -> _reading.Option:
        return _reading.Option('may_borrow', True, children[0])

    def no_borrow(self, children: Children) -> _reading.Option:
        return _reading.Option('may_borrow', False, children[0])

    def change_policy(self, children: Children) -> _nodes.ChangePolicy:
        kind, name, *settings = children
        parameters = _reading.unique(settings)
        return _nodes.ChangePolicy(
            kind, name.text, tuple(sorted(parameters.items()))
        )

    def policy_kind(self, children: Children) -> _nodes.PolicyKind:
        return _nodes.PolicyKind(str(children[0]))

    def setting(self, children: Children) -> _reading.Option:
        name, value = children
        return _reading.Option(name.text, value, name.token)
