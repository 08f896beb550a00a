"""Builds command nodes from parsed grammar rules."""

import dataclasses
import typing

import lark

from citronrail.language import _literals
from citronrail.language import _nodes
from citronrail.language import _parse_helpers
from citronrail.model import identifiers
from citronrail.model import specs

Children = list[typing.Any]


class Builder(lark.Transformer[lark.Token, typing.Any]):
    """Transformer with one callback for each grammar rule."""

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
        return _parse_helpers.parse_version(children[0])

    # Queries

    def show(self, children: Children) -> _nodes.Show:
        table, *clauses = children
        return _nodes.Show(table, **_parse_helpers.options_by_key(clauses))

    def table(self, children: Children) -> _nodes.TableName:
        token = children[0]
        match token.type:
            case 'DATA_CENTRE':
                return _nodes.TableName.DATA_CENTRES
            case 'BACKEND_SERVERS':
                return _nodes.TableName.BACKEND_SERVERS
        return _nodes.TableName(str(token))

    def where(self, children: Children) -> _parse_helpers.Option:
        return _parse_helpers.Option('where', children[1], children[0])

    def order_by(self, children: Children) -> _parse_helpers.Option:
        return _parse_helpers.Option(
            'order_by', tuple(children[1:]), children[0]
        )

    def order_key(self, children: Children) -> _nodes.OrderKey:
        field, *direction = children
        return _nodes.OrderKey(field, direction == ['desc'])

    def direction(self, children: Children) -> str:
        return str(children[0])

    def limit(self, children: Children) -> _parse_helpers.Option:
        return _parse_helpers.Option(
            'limit', _parse_helpers.parse_count(children[1], 0), children[0]
        )

    def count_by(self, children: Children) -> _parse_helpers.Option:
        return _parse_helpers.Option('count_by', children[1], children[0])

    def disjunction(self, children: Children) -> _nodes.Condition:
        if len(children) == 1:
            return typing.cast(_nodes.Condition, children[0])
        return _parse_helpers.check_depth(_nodes.Or(tuple(children)))

    def conjunction(self, children: Children) -> _nodes.Condition:
        if len(children) == 1:
            return typing.cast(_nodes.Condition, children[0])
        return _parse_helpers.check_depth(_nodes.And(tuple(children)))

    def negation(self, children: Children) -> _nodes.Condition:
        token, operand = children
        return _parse_helpers.check_depth(_nodes.Not(operand), token)

    def comparison(self, children: Children) -> _nodes.Comparison:
        field, operator, value = children
        node = _nodes.Comparison(field, _nodes.Operator(str(operator)), value)
        if node.operator is _nodes.Operator.MATCHES:
            if not isinstance(value, str):
                raise _parse_helpers.SemanticError(
                    '"~" needs a quoted pattern', operator
                )
            try:
                _literals.check_pattern(value)
            except ValueError as exc:
                raise _parse_helpers.SemanticError(str(exc), operator) from exc
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
                return _nodes.Memory(
                    _parse_helpers.parse_literal(
                        token, _literals.parse_memory_mb
                    )
                )
            case 'DURATION':
                return _nodes.Duration(
                    _parse_helpers.parse_literal(
                        token, _literals.parse_duration_ms
                    )
                )
            case 'TIME':
                return _nodes.Time(
                    _parse_helpers.parse_literal(
                        token, _literals.parse_unix_time
                    )
                )
        return self.plain_value(children)

    def plain_value(self, children: Children) -> str | int | float | bool:
        token = children[0]
        match token.type:
            case 'STRING':
                return _parse_helpers.parse_literal(
                    token, _literals.parse_string
                )
            case 'NUMBER':
                return _parse_helpers.parse_literal(
                    token, _literals.parse_number
                )
            case 'NAME':
                return str(token)
        return str(token) == 'true'

    # Options

    def name(self, children: Children) -> _parse_helpers.NameToken:
        token = children[0]
        if token.type == 'STRING':
            return _parse_helpers.NameToken(
                _parse_helpers.parse_literal(token, _literals.parse_string),
                token,
            )
        return _parse_helpers.NameToken(str(token), token)

    def team(self, children: Children) -> _parse_helpers.Option:
        return _parse_helpers.Option('team', children[1].text, children[0])

    def work_class(self, children: Children) -> _parse_helpers.Option:
        return _parse_helpers.Option(
            'work_class', children[1].text, children[0]
        )

    def tasks(self, children: Children) -> _parse_helpers.Option:
        return _parse_helpers.Option(
            'task_count',
            _parse_helpers.parse_count(children[1], 1),
            children[0],
        )

    def replicas(self, children: Children) -> _parse_helpers.Option:
        return _parse_helpers.Option(
            'replicas', _parse_helpers.parse_count(children[1], 0), children[0]
        )

    def cores(self, children: Children) -> _parse_helpers.Option:
        amount = _parse_helpers.parse_literal(
            children[1], _literals.parse_millicores
        )
        if amount < 0:
            raise _parse_helpers.SemanticError(
                'cores can not be negative', children[1]
            )
        return _parse_helpers.Option('millicores', amount, children[0])

    def memory(self, children: Children) -> _parse_helpers.Option:
        amount = _parse_helpers.parse_literal(
            children[1], _literals.parse_memory_mb
        )
        return _parse_helpers.Option('memory_mb', amount, children[0])

    def accelerators(self, children: Children) -> _parse_helpers.Option:
        return _parse_helpers.Option(
            'accelerators',
            _parse_helpers.parse_count(children[1], 0),
            children[0],
        )

    def run_time(self, children: Children) -> _parse_helpers.Option:
        return _parse_helpers.Option(
            'run_ms',
            _parse_helpers.parse_positive_ms(children[1]),
            children[0],
        )

    def latency(self, children: Children) -> _parse_helpers.Option:
        return _parse_helpers.Option(
            'latency_ms',
            _parse_helpers.parse_positive_ms(children[1]),
            children[0],
        )

    def urgent(self, children: Children) -> _parse_helpers.Option:
        return _parse_helpers.Option(
            'priority', specs.Priority.URGENT, children[0]
        )

    def low(self, children: Children) -> _parse_helpers.Option:
        return _parse_helpers.Option(
            'priority', specs.Priority.LOW, children[0]
        )

    def exclusive(self, children: Children) -> _parse_helpers.Option:
        return _parse_helpers.Option('exclusive', True, children[0])

    def no_checkpoint(self, children: Children) -> _parse_helpers.Option:
        return _parse_helpers.Option('checkpointable', False, children[0])

    def data_centres(self, children: Children) -> _parse_helpers.Option:
        names = tuple(name.text for name in children[1:])
        for name in children[1:]:
            if names.count(name.text) > 1:
                raise _parse_helpers.SemanticError(
                    'a data centre is named twice', name.token
                )
        return _parse_helpers.Option('data_centres', names, children[0])

    def before(self, children: Children) -> _parse_helpers.Option:
        unix_s = _parse_helpers.parse_literal(
            children[1], _literals.parse_unix_time
        )
        return _parse_helpers.Option('finish_before', unix_s, children[0])

    def argument(self, children: Children) -> _parse_helpers.Option:
        return _parse_helpers.Option('argument', children[1].text, children[0])

    # Jobs and services

    def start_job(self, children: Children) -> _nodes.StartJob:
        name, *options = children
        values = _parse_helpers.options_by_key(options)
        _parse_helpers.require_options(
            values, name, ('team', 'team'), ('work_class', 'class')
        )
        values.setdefault('task_count', 1)
        if 'run_ms' in values:
            values['declared_run_s'] = values.pop('run_ms') / 1000
        return _nodes.StartJob(
            specs.JobSpec(
                identifiers.JobId(name.text),
                resources=_parse_helpers.pop_resources(values),
                **values,
            )
        )

    def start_service(self, children: Children) -> _nodes.StartService:
        name, *options = children
        values = _parse_helpers.options_by_key(options)
        _parse_helpers.require_options(
            values, name, ('team', 'team'), ('work_class', 'class')
        )
        values.setdefault('replicas', 1)
        return _nodes.StartService(
            specs.ServiceSpec(
                identifiers.ServiceName(name.text),
                resources=_parse_helpers.pop_resources(values),
                **_parse_helpers.convert_service_durations(values),
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
            name.text,
            **_parse_helpers.convert_service_durations(
                _parse_helpers.options_by_key(options)
            ),
        )

    def change_team(self, children: Children) -> _nodes.ChangeTeam:
        name, *options = children
        return _nodes.ChangeTeam(
            name.text, **_parse_helpers.options_by_key(options)
        )

    def quota(self, children: Children) -> _parse_helpers.Option:
        values = {
            'millicores': 0,
            'memory_mb': 0,
            **_parse_helpers.options_by_key(children[1:]),
        }
        return _parse_helpers.Option(
            'quota', _parse_helpers.pop_resources(values), children[0]
        )

    def borrow(self, children: Children) -> _parse_helpers.Option:
        return _parse_helpers.Option('may_borrow', True, children[0])

    def no_borrow(self, children: Children) -> _parse_helpers.Option:
        return _parse_helpers.Option('may_borrow', False, children[0])

    def change_policy(self, children: Children) -> _nodes.ChangePolicy:
        kind, name, *settings = children
        parameters = _parse_helpers.options_by_key(settings)
        return _nodes.ChangePolicy(
            kind, name.text, tuple(sorted(parameters.items()))
        )

    def policy_kind(self, children: Children) -> _nodes.PolicyKind:
        return _nodes.PolicyKind(str(children[0]))

    def setting(self, children: Children) -> _parse_helpers.Option:
        name, value = children
        return _parse_helpers.Option(name.text, value, name.token)
