"""Row classes and columns of the tables that ``show`` reads."""

import dataclasses
import enum
import functools
import typing

from citronrail.language import _nodes
from citronrail.model import rows


@dataclasses.dataclass(frozen=True)
class ServiceRow:
    """A configured service; ``backend_servers`` counts the announced ones."""

    service: str
    team: str
    work_class: str
    replicas: int
    backend_servers: int
    cores: float
    memory_mb: int
    accelerators: int
    max_run_s: float
    latency_target_ms: float
    data_centres: str
    draining: bool


@dataclasses.dataclass(frozen=True)
class WorkerRow:
    """A worker as last reported by its agent.

    ``state`` is ``ready``, ``starting``, ``drained``, ``leaving``, ``silent``
    or ``out of service`` if its data centre is out of service.
    """

    worker: str
    data_centre: str
    rack: str
    state: str
    cores: float
    free_cores: float
    memory_mb: int
    free_memory_mb: int
    accelerators: int
    free_accelerators: int
    slots_used: int
    connections_used: int
    queued: int
    latency_ms: float
    heard_s: float


@dataclasses.dataclass(frozen=True)
class BackendServerRow:
    """A backend server announced by a worker's agent."""

    worker: str
    service: str
    data_centre: str
    incarnation: int
    leaving: bool


@dataclasses.dataclass(frozen=True)
class DataCentreRow:
    """A data centre that was reported, configured or set by an operator."""

    data_centre: str
    in_service: bool
    changed_in: int
    workers: int
    ready_workers: int
    cores: float
    free_cores: float
    memory_mb: int
    free_memory_mb: int
    accelerators: int
    free_accelerators: int


@dataclasses.dataclass(frozen=True)
class TeamRow:
    """A team with its quota and the total declared size of its services."""

    team: str
    quota_cores: float
    quota_memory_mb: int
    quota_accelerators: int
    may_borrow: bool
    services: int
    service_cores: float
    service_memory_mb: int
    service_accelerators: int


@dataclasses.dataclass(frozen=True)
class RequestRow:
    """A request of a caller in progress at an entry."""

    request: str
    entry: str
    service: str
    state: str
    worker: str = ''
    attempt: int = 0
    age_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class EntryRow:
    """An entry; ``heard_s`` is the time since its last heartbeat."""

    entry: str
    data_centre: str
    boot_id: str
    state: str
    ranges: str
    settings_version: int
    heard_s: float


@dataclasses.dataclass(frozen=True)
class SettingRow:
    """A configuration value or a recent command."""

    name: str
    value: str


class ColumnKind(enum.Enum):
    """Type of a column, as it appears in error messages."""

    TEXT = 'text'
    NUMBER = 'a number'
    FLAG = 'true or false'


@dataclasses.dataclass(frozen=True)
class Column:
    """A column of a table; the suffix of its name gives the unit."""

    name: str
    kind: ColumnKind


ROW_CLASSES: dict[_nodes.TableName, type] = {
    _nodes.TableName.TASKS: rows.TaskRow,
    _nodes.TableName.JOBS: rows.JobRow,
    _nodes.TableName.SERVICES: ServiceRow,
    _nodes.TableName.WORKERS: WorkerRow,
    _nodes.TableName.BACKEND_SERVERS: BackendServerRow,
    _nodes.TableName.DATA_CENTRES: DataCentreRow,
    _nodes.TableName.TEAMS: TeamRow,
    _nodes.TableName.REQUESTS: RequestRow,
    _nodes.TableName.ENTRIES: EntryRow,
    _nodes.TableName.SETTINGS: SettingRow,
}

# Alternative column names, from the keywords of the commands.
ALIASES: dict[str, tuple[str, ...]] = {
    'class': ('work_class',),
    'memory': ('memory_mb',),
    'free_memory': ('free_memory_mb',),
    'latency': ('latency_ms', 'latency_target_ms'),
    'run_time': ('max_run_s',),
    'name': (
        'entry',
        *(table.value.removesuffix('s') for table in ROW_CLASSES),
    ),
}


@functools.cache
def columns(table: _nodes.TableName) -> tuple[Column, ...]:
    """Return the columns of a table.

    :param table: the table.
    :returns: its columns in the order of the fields of its rows.
    """
    row = ROW_CLASSES[table]
    hints = typing.get_type_hints(row)
    return tuple(
        Column(field.name, _column_kind(hints[field.name]))
        for field in dataclasses.fields(row)
    )


def job_columns() -> tuple[Column, ...]:
    """Return the columns of the jobs table."""
    return columns(_nodes.TableName.JOBS)


def _column_kind(hint: typing.Any) -> ColumnKind:
    options = set(typing.get_args(hint) or (hint,)) - {type(None)}
    if options == {str}:
        return ColumnKind.TEXT
    if options == {bool}:
        return ColumnKind.FLAG
    return ColumnKind.NUMBER
