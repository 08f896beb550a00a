"""Evaluates queries as plain functions over typed rows."""

import collections
import collections.abc
import dataclasses
import operator
import re
import typing

from citronrail.language import _facts
from citronrail.language import _nodes
from citronrail.language import _tables
from citronrail.model import messages

# Bounds the size of one reply: about 200 bytes a row make 1 MB.
MAX_ROWS = 5000
# Longer cells are cut before a pattern is searched in them.
MAX_SEARCHED_CHARACTERS = 500
COUNT_COLUMN = 'count'
Cells = tuple[messages.Cell, ...]
_Row = collections.abc.Callable[[typing.Any], bool]
_Test = collections.abc.Callable[[typing.Any], bool]

_COMPARE: dict[_nodes.Operator, typing.Any] = {
    _nodes.Operator.EQUAL: operator.eq,
    _nodes.Operator.NOT_EQUAL: operator.ne,
    _nodes.Operator.LESS: operator.lt,
    _nodes.Operator.AT_MOST: operator.le,
    _nodes.Operator.GREATER: operator.gt,
    _nodes.Operator.AT_LEAST: operator.ge,
}


@dataclasses.dataclass(frozen=True)
class Result:
    """Rows of a query; ``more`` tells that rows were left out."""

    columns: tuple[str, ...]
    rows: tuple[Cells, ...]
    more: bool = False


def check(show: _nodes.Show) -> None:
    """Check the columns of a query before any row is read.

    :param show: the query.
    :raises citronrail.errors.CommandRefused: if a column doesn't exist or
        holds something else than it is compared with.
    """
    if show.where is not None:
        predicate(show.table, show.where)
    _order(show)
    if show.count_by is not None:
        _column(show.table, show.count_by)


@dataclasses.dataclass(frozen=True)
class Predicate:
    """Tells whether a row meets a condition that looks at ``fields``."""

    test: _Row
    fields: frozenset[str] = frozenset()

    def __call__(self, row: typing.Any) -> bool:
        """Tell whether ``row`` meets the condition."""
        return self.test(row)


def predicate(
    table: _nodes.TableName, condition: _nodes.Condition | None
) -> Predicate:
    """Make a function that tells whether a row meets a condition.

    :param table: the table that the rows belong to.
    :param condition: the condition; None is met by every row.
    :returns: a function of one row.
    :raises citronrail.errors.CommandRefused: as for :func:`check`.
    """
    if condition is None:
        return Predicate(_accept)
    fields: set[str] = set()
    return Predicate(_test(table, condition, fields), frozenset(fields))


def _test(
    table: _nodes.TableName, condition: _nodes.Condition, fields: set[str]
) -> _Row:
    match condition:
        case _nodes.And(operands):
            parts = [_test(table, operand, fields) for operand in operands]
            return lambda row: all(part(row) for part in parts)
        case _nodes.Or(operands):
            parts = [_test(table, operand, fields) for operand in operands]
            return lambda row: any(part(row) for part in parts)
        case _nodes.Not(operand):
            inner = _test(table, operand, fields)
            return lambda row: not inner(row)
        case _nodes.Comparison(field, kind, value):
            column = _column(table, field)
            fields.add(column.name)
            return _on_cell(column.name, _compare(column, kind, value))
        case _nodes.Membership(field, values):
            column = _column(table, field)
            fields.add(column.name)
            wanted = frozenset(_plain(column, value) for value in values)
            return _on_cell(column.name, lambda cell: cell in wanted)


def _accept(row: object) -> bool:
    del row
    return True


def _on_cell(name: str, test: _Test) -> _Row:
    cell = operator.attrgetter(name)
    return lambda row: test(cell(row))


def _compare(
    column: _tables.Column, kind: _nodes.Operator, value: _nodes.Value
) -> _Test:
    if kind is _nodes.Operator.MATCHES:
        if column.kind is not _tables.Kind.TEXT:
            raise _facts.refuse(
                f'"~" searches text, but column "{column.name}" holds '
                f'{column.kind.value}'
            )
        search = re.compile(str(value)).search
        return lambda cell: (
            search(str(cell)[:MAX_SEARCHED_CHARACTERS]) is not None
        )
    wanted = _plain(column, value)
    compare = _COMPARE[kind]
    # A cell without a value is unequal to everything and has no order.
    absent = kind is _nodes.Operator.NOT_EQUAL
    return lambda cell: absent if cell is None else compare(cell, wanted)


def _plain(
    column: _tables.Column, value: _nodes.Value
) -> str | int | float | bool:
    """Turn a value into the unit and type of a column."""
    name = column.name
    found: str | int | float | bool | None = None
    match value:
        case bool():
            found = value if column.kind is _tables.Kind.FLAG else None
        case str():
            found = value if column.kind is _tables.Kind.TEXT else None
        case int() | float():
            found = value if column.kind is _tables.Kind.NUMBER else None
        case _nodes.Memory(amount) if name.endswith('_mb'):
            found = amount
        case _nodes.Duration(milliseconds) if name.endswith('_ms'):
            found = milliseconds
        case _nodes.Duration(milliseconds) if name.endswith('_s'):
            found = milliseconds / 1000
        case _nodes.Time(unix_s) if name.endswith(('_at', '_before')):
            found = unix_s
    if found is None:
        quote = (
            '; put text in quotes' if column.kind is _tables.Kind.TEXT else ''
        )
        raise _facts.refuse(
            f'column "{name}" holds {_holds(column)}, which can not be '
            f'compared with that{quote}'
        )
    return found


def _holds(column: _tables.Column) -> str:
    units = {
        '_mb': 'an amount of memory',
        '_ms': 'a time such as 50ms',
        '_s': 'a time such as 90s',
        '_at': 'a point of time',
        '_before': 'a point of time',
    }
    for end, words in units.items():
        if column.name.endswith(end):
            return words
    return column.kind.value


def _column(table: _nodes.TableName, name: str) -> _tables.Column:
    columns = {column.name: column for column in _tables.columns(table)}
    found = columns.get(name)
    for alias in _tables.ALIASES.get(name, ()):
        found = found or columns.get(alias)
    if found is None:
        hint = _facts.near_miss(name, columns)
        raise _facts.refuse(
            f'table {table.value} has no column "{name}"'
            f'{hint or "; there are " + ", ".join(columns)}'
        )
    return found


def _order(show: _nodes.Show) -> tuple[tuple[int, bool], ...]:
    """Return position and direction of each ordering column."""
    names = result_columns(show)
    keys = []
    for key in show.order_by:
        if key.field in names:
            name = key.field
        else:
            name = _column(show.table, key.field).name
        if name not in names:
            raise _facts.refuse(
                f'"{name}" can not order a count by '
                f'"{show.count_by}"; there are {", ".join(names)}'
            )
        keys.append((names.index(name), key.descending))
    if show.count_by is not None and not keys:
        keys = [(1, True), (0, False)]
    return tuple(keys)


def result_columns(show: _nodes.Show) -> tuple[str, ...]:
    """Return the columns of a query's result.

    :param show: the query.
    :returns: the table's columns, or the counted column and ``count``.
    :raises citronrail.errors.CommandRefused: if it counts no column.
    """
    if show.count_by is not None:
        return (_column(show.table, show.count_by).name, COUNT_COLUMN)
    return tuple(column.name for column in _tables.columns(show.table))


def evaluate(
    show: _nodes.Show, rows: collections.abc.Iterable[object]
) -> Result:
    """Answer a query from rows.

    :param show: the query.
    :param rows: rows of the query's table.
    :returns: the rows that meet the condition, counted, ordered and limited.
    :raises citronrail.errors.CommandRefused: as for :func:`check`.
    """
    met = predicate(show.table, show.where)
    return summarise(show, [row for row in rows if met(row)])


class Summary:
    """Counts, orders and limits rows that meet the condition of a query.

    At most twice the rows of the result are kept at any time.

    :param show: the query.
    """

    def __init__(self, show: _nodes.Show) -> None:
        self._show = show
        names = result_columns(show)
        self._cells = operator.attrgetter(
            *(names if show.count_by is None else names[:1])
        )
        self._value = operator.attrgetter(names[0])
        self._counts: collections.Counter[messages.Cell] = (
            collections.Counter()
        )
        self._rows: list[Cells] = []
        self._more = False

    def add(self, rows: collections.abc.Iterable[object]) -> None:
        """Take in rows of the table that meet the condition."""
        if self._show.count_by is not None:
            self._counts.update(self._value(row) for row in rows)
            return
        self._rows.extend(self._cells(row) for row in rows)
        if len(self._rows) > 2 * _limit(self._show):
            # The order is total, so what is cut here can't come back.
            self._rows = list(self.result().rows)

    def result(self) -> Result:
        """Return the result over all rows added so far."""
        if self._show.count_by is not None:
            return _finish(self._show, list(self._counts.items()))
        result = _finish(self._show, self._rows)
        self._more = self._more or result.more
        return dataclasses.replace(result, more=self._more)


def summarise(
    show: _nodes.Show, rows: collections.abc.Iterable[object]
) -> Result:
    """Count, order and limit rows that meet the condition of a query.

    :param show: the query.
    :param rows: rows of its table.
    :returns: the result.
    """
    summary = Summary(show)
    for row in rows:
        summary.add((row,))
    return summary.result()


def for_part(show: _nodes.Show) -> _nodes.Show:
    """Return the query to put to each of several processes.

    :param show: the whole query.
    :returns: the query, without a limit on counts: a group that is small in
        each part may be large in the whole.
    """
    if show.count_by is None:
        return show
    return dataclasses.replace(show, limit=None)


def merge(
    show: _nodes.Show, parts: collections.abc.Iterable[Result]
) -> Result:
    """Join the answers of several processes to one query.

    A row that two processes report, because its range moved between them
    meanwhile, is kept once. Counts are added.

    :param show: the whole query; each answered :func:`for_part` of it.
    :param parts: their results; those with other columns are left out.
    :returns: the joined result.
    """
    names = result_columns(show)
    fitting = [part for part in parts if part.columns == names]
    rows: list[Cells]
    if show.count_by is None:
        unique: dict[messages.Cell, Cells] = {}
        for part in fitting:
            for row in part.rows:
                unique.setdefault(row[0], row)
        rows = list(unique.values())
        if show.table in _NOT_UNIQUE:
            rows = [row for part in fitting for row in part.rows]
    else:
        counts: collections.Counter[messages.Cell] = collections.Counter()
        for part in fitting:
            counts.update({row[0]: _number(row[1]) for row in part.rows})
        rows = list(counts.items())
    result = _finish(show, rows)
    more = result.more or any(part.more for part in fitting)
    return dataclasses.replace(result, more=more)


# The first column of these tables doesn't identify a row.
_NOT_UNIQUE = frozenset({_nodes.TableName.BACKEND_SERVERS})


def _number(cell: messages.Cell) -> int:
    return cell if isinstance(cell, int) else 0


def _finish(show: _nodes.Show, rows: list[Cells]) -> Result:
    # Sorting by the last key first keeps the order of the earlier ones. The
    # first column breaks ties, so that merged limits are well defined.
    for position, descending in ((0, False), *reversed(_order(show))):
        rows.sort(key=_sort_key(position, descending), reverse=descending)
    limit = _limit(show)
    asked = len(rows) if show.limit is None else show.limit
    more = len(rows) > limit and asked > limit
    return Result(result_columns(show), tuple(rows[:limit]), more)


def _sort_key(
    position: int, descending: bool
) -> collections.abc.Callable[[Cells], typing.Any]:
    def key(row: Cells) -> typing.Any:
        cell = row[position]
        # Cells without a value come last in both directions. Text and
        # numbers are kept apart, in case another version mixes them.
        if cell is None:
            return (not descending, False, 0)
        return (descending, isinstance(cell, str), cell)

    return key


def _limit(show: _nodes.Show) -> int:
    return MAX_ROWS if show.limit is None else min(show.limit, MAX_ROWS)
