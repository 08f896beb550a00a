"""Evaluates queries over typed rows."""

import collections
import collections.abc
import dataclasses
import operator
import re
import typing

from citronrail.language import _nodes
from citronrail.language import _tables
from citronrail.language import _validation
from citronrail.model import messages

# Limits a reply to about 1 MB at about 200 bytes per row.
MAX_ROWS = 5000
# Longer cells are truncated before a pattern is matched.
MAX_SEARCHED_CHARACTERS = 500
COUNT_COLUMN = 'count'
Cells = tuple[messages.Cell, ...]
_RowPredicate = collections.abc.Callable[[typing.Any], bool]
_CellPredicate = collections.abc.Callable[[typing.Any], bool]

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
    """Rows of a query; ``more`` is true if rows were omitted."""

    columns: tuple[str, ...]
    rows: tuple[Cells, ...]
    more: bool = False


def check(show: _nodes.Show) -> None:
    """Validate the columns of a query before any row is read.

    :param show: the query.
    :raises citronrail.errors.CommandRefused: if a column doesn't exist or
        its type doesn't match the value it is compared with.
    """
    if show.where is not None:
        make_predicate(show.table, show.where)
    _sort_positions(show)
    if show.count_by is not None:
        _column(show.table, show.count_by)


@dataclasses.dataclass(frozen=True)
class Predicate:
    """Tests whether a row meets a condition that reads ``fields``."""

    test: _RowPredicate
    fields: frozenset[str] = frozenset()

    def __call__(self, row: typing.Any) -> bool:
        """Return whether ``row`` meets the condition."""
        return self.test(row)


def make_predicate(
    table: _nodes.TableName, condition: _nodes.Condition | None
) -> Predicate:
    """Compile a condition to a predicate on rows.

    :param table: the table that the rows belong to.
    :param condition: the condition; None accepts every row.
    :returns: a function of one row.
    :raises citronrail.errors.CommandRefused: as for :func:`check`.
    """
    if condition is None:
        return Predicate(_accept_all)
    fields: set[str] = set()
    return Predicate(_compile(table, condition, fields), frozenset(fields))


def _compile(
    table: _nodes.TableName, condition: _nodes.Condition, fields: set[str]
) -> _RowPredicate:
    match condition:
        case _nodes.And(operands):
            parts = [_compile(table, operand, fields) for operand in operands]
            return lambda row: all(part(row) for part in parts)
        case _nodes.Or(operands):
            parts = [_compile(table, operand, fields) for operand in operands]
            return lambda row: any(part(row) for part in parts)
        case _nodes.Not(operand):
            inner = _compile(table, operand, fields)
            return lambda row: not inner(row)
        case _nodes.Comparison(field, kind, value):
            column = _column(table, field)
            fields.add(column.name)
            return _on_column(column.name, _compare(column, kind, value))
        case _nodes.Membership(field, values):
            column = _column(table, field)
            fields.add(column.name)
            expected = frozenset(_convert(column, value) for value in values)
            return _on_column(column.name, lambda cell: cell in expected)


def _accept_all(row: object) -> bool:
    del row
    return True


def _on_column(name: str, test: _CellPredicate) -> _RowPredicate:
    cell = operator.attrgetter(name)
    return lambda row: test(cell(row))


def _compare(
    column: _tables.Column, kind: _nodes.Operator, value: _nodes.Value
) -> _CellPredicate:
    if kind is _nodes.Operator.MATCHES:
        if column.kind is not _tables.ColumnKind.TEXT:
            raise _validation.refusal(
                f'"~" searches text, but column "{column.name}" holds '
                f'{column.kind.value}'
            )
        search = re.compile(str(value)).search
        return lambda cell: (
            search(str(cell)[:MAX_SEARCHED_CHARACTERS]) is not None
        )
    expected = _convert(column, value)
    compare = _COMPARE[kind]
    # An empty cell differs from every value and can't be ordered.
    empty_result = kind is _nodes.Operator.NOT_EQUAL
    return lambda cell: (
        empty_result if cell is None else compare(cell, expected)
    )


def _convert(
    column: _tables.Column, value: _nodes.Value
) -> str | int | float | bool:
    """Convert a value to the unit and type of a column."""
    name = column.name
    converted: str | int | float | bool | None = None
    match value:
        case bool():
            converted = (
                value if column.kind is _tables.ColumnKind.FLAG else None
            )
        case str():
            converted = (
                value if column.kind is _tables.ColumnKind.TEXT else None
            )
        case int() | float():
            converted = (
                value if column.kind is _tables.ColumnKind.NUMBER else None
            )
        case _nodes.Memory(amount) if name.endswith('_mb'):
            converted = amount
        case _nodes.Duration(milliseconds) if name.endswith('_ms'):
            converted = milliseconds
        case _nodes.Duration(milliseconds) if name.endswith('_s'):
            converted = milliseconds / 1000
        case _nodes.Time(unix_s) if name.endswith(('_at', '_before')):
            converted = unix_s
    if converted is None:
        quote = (
            '; put text in quotes'
            if column.kind is _tables.ColumnKind.TEXT
            else ''
        )
        raise _validation.refusal(
            f'column "{name}" holds {_describe_values(column)}, which '
            f'can not be compared with that{quote}'
        )
    return converted


def _describe_values(column: _tables.Column) -> str:
    units = {
        '_mb': 'an amount of memory',
        '_ms': 'a time such as 50ms',
        '_s': 'a time such as 90s',
        '_at': 'a point of time',
        '_before': 'a point of time',
    }
    for suffix, description in units.items():
        if column.name.endswith(suffix):
            return description
    return column.kind.value


def _column(table: _nodes.TableName, name: str) -> _tables.Column:
    columns = {column.name: column for column in _tables.columns(table)}
    selected = columns.get(name)
    for alias in _tables.ALIASES.get(name, ()):
        selected = selected or columns.get(alias)
    if selected is None:
        hint = _validation.suggest_names(name, columns)
        raise _validation.refusal(
            f'table {table.value} has no column "{name}"'
            f'{hint or "; there are " + ", ".join(columns)}'
        )
    return selected


def _sort_positions(show: _nodes.Show) -> tuple[tuple[int, bool], ...]:
    """Return the position and direction of each sort key."""
    names = result_columns(show)
    keys = []
    for key in show.order_by:
        if key.field in names:
            name = key.field
        else:
            name = _column(show.table, key.field).name
        if name not in names:
            raise _validation.refusal(
                f'"{name}" can not order a count by '
                f'"{show.count_by}"; there are {", ".join(names)}'
            )
        keys.append((names.index(name), key.descending))
    if show.count_by is not None and not keys:
        keys = [(1, True), (0, False)]
    return tuple(keys)


def result_columns(show: _nodes.Show) -> tuple[str, ...]:
    """Return the column names of a query's result.

    :param show: the query.
    :returns: the table's columns, or the counted column and ``count``.
    :raises citronrail.errors.CommandRefused: if the counted column
        doesn't exist.
    """
    if show.count_by is not None:
        return (_column(show.table, show.count_by).name, COUNT_COLUMN)
    return tuple(column.name for column in _tables.columns(show.table))


def evaluate(
    show: _nodes.Show, rows: collections.abc.Iterable[object]
) -> Result:
    """Evaluate a query on rows.

    :param show: the query.
    :param rows: rows of the query's table.
    :returns: the rows that meet the condition, counted, ordered and limited.
    :raises citronrail.errors.CommandRefused: as for :func:`check`.
    """
    matches = make_predicate(show.table, show.where)
    return summarise(show, [row for row in rows if matches(row)])


class Summary:
    """Counts, orders and limits the rows selected by a query.

    Holds at most twice the row limit at any time.

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
        """Add rows of the table that meet the condition."""
        if self._show.count_by is not None:
            self._counts.update(self._value(row) for row in rows)
            return
        self._rows.extend(self._cells(row) for row in rows)
        if len(self._rows) > 2 * _row_limit(self._show):
            # The order is total, so rows beyond the limit can be dropped.
            self._rows = list(self.result().rows)

    def result(self) -> Result:
        """Return the result over all rows added so far."""
        if self._show.count_by is not None:
            return _sort_and_limit(self._show, list(self._counts.items()))
        result = _sort_and_limit(self._show, self._rows)
        self._more = self._more or result.more
        return dataclasses.replace(result, more=self._more)


def summarise(
    show: _nodes.Show, rows: collections.abc.Iterable[object]
) -> Result:
    """Count, order and limit the rows selected by a query.

    :param show: the query.
    :param rows: rows of its table.
    :returns: the result.
    """
    summary = Summary(show)
    for row in rows:
        summary.add((row,))
    return summary.result()


def partial_query(show: _nodes.Show) -> _nodes.Show:
    """Return the partial query that each of several processes evaluates.

    :param show: the full query.
    :returns: the query, without a limit on counts: a group with a low count
        in each process may have a high total.
    """
    if show.count_by is None:
        return show
    return dataclasses.replace(show, limit=None)


def merge(
    show: _nodes.Show, parts: collections.abc.Iterable[Result]
) -> Result:
    """Merge the partial results of several processes.

    A row reported by two processes, because its range moved during the query,
    is kept once. Counts are added.

    :param show: the full query; each part is the result of its
        :func:`partial_query`.
    :param parts: partial results; those with different columns are ignored.
    :returns: the merged result.
    """
    names = result_columns(show)
    compatible = [part for part in parts if part.columns == names]
    rows: list[Cells]
    if show.count_by is None:
        unique: dict[messages.Cell, Cells] = {}
        for part in compatible:
            for row in part.rows:
                unique.setdefault(row[0], row)
        rows = list(unique.values())
        if show.table in _TABLES_WITHOUT_KEY:
            rows = [row for part in compatible for row in part.rows]
    else:
        counts: collections.Counter[messages.Cell] = collections.Counter()
        for part in compatible:
            counts.update({row[0]: _as_count(row[1]) for row in part.rows})
        rows = list(counts.items())
    result = _sort_and_limit(show, rows)
    more = result.more or any(part.more for part in compatible)
    return dataclasses.replace(result, more=more)


# The first column of these tables doesn't identify a row.
_TABLES_WITHOUT_KEY = frozenset({_nodes.TableName.BACKEND_SERVERS})


def _as_count(cell: messages.Cell) -> int:
    return cell if isinstance(cell, int) else 0


def _sort_and_limit(show: _nodes.Show, rows: list[Cells]) -> Result:
    # The sort is stable, so it runs from the least to the most significant
    # key. The first column breaks ties, so that limits of merged results are
    # well defined.
    for position, descending in ((0, False), *reversed(_sort_positions(show))):
        rows.sort(key=_sort_key(position, descending), reverse=descending)
    limit = _row_limit(show)
    requested = len(rows) if show.limit is None else show.limit
    more = len(rows) > limit and requested > limit
    return Result(result_columns(show), tuple(rows[:limit]), more)


def _sort_key(
    position: int, descending: bool
) -> collections.abc.Callable[[Cells], typing.Any]:
    def key(row: Cells) -> typing.Any:
        cell = row[position]
        # Empty cells sort last in both directions. Text and numbers are
        # never compared, in case another version returns a mixed column.
        if cell is None:
            return (not descending, False, 0)
        return (descending, isinstance(cell, str), cell)

    return key


def _row_limit(show: _nodes.Show) -> int:
    return MAX_ROWS if show.limit is None else min(show.limit, MAX_ROWS)
