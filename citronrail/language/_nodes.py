"""Immutable syntax tree nodes of the command language."""

import dataclasses
import enum

from citronrail.model import resources
from citronrail.model import specs


class TableName(enum.Enum):
    """Tables that ``show`` can read."""

    TASKS = 'tasks'
    JOBS = 'jobs'
    SERVICES = 'services'
    WORKERS = 'workers'
    BACKEND_SERVERS = 'backend_servers'
    DATA_CENTRES = 'data_centres'
    TEAMS = 'teams'
    REQUESTS = 'requests'
    ENTRIES = 'entries'
    SETTINGS = 'settings'


class Operator(enum.Enum):
    """Comparison operators; ``~`` searches for a regular expression."""

    EQUAL = '='
    NOT_EQUAL = '!='
    LESS = '<'
    AT_MOST = '<='
    GREATER = '>'
    AT_LEAST = '>='
    MATCHES = '~'


class Place(enum.Enum):
    """Kinds of objects that ``drain`` and ``return`` apply to."""

    DATA_CENTRE = 'data_centre'
    WORKER = 'worker'
    SERVICE = 'service'


class PolicyKind(enum.Enum):
    """Kinds of policies that operators can choose."""

    PLACEMENT = 'placement'
    BALANCING = 'balancing'


@dataclasses.dataclass(frozen=True)
class Memory:
    """An amount of memory in a condition."""

    memory_mb: int


@dataclasses.dataclass(frozen=True)
class Duration:
    """A duration in a condition."""

    milliseconds: int


@dataclasses.dataclass(frozen=True)
class Time:
    """A timestamp in a condition, in Unix seconds."""

    unix_s: float


Value = str | int | float | bool | Memory | Duration | Time


@dataclasses.dataclass(frozen=True)
class Comparison:
    """``field operator value``."""

    field: str
    operator: Operator
    value: Value


@dataclasses.dataclass(frozen=True)
class Membership:
    """``field in (value, ...)``."""

    field: str
    values: tuple[Value, ...]


@dataclasses.dataclass(frozen=True)
class And:
    """Conjunction of at least two operands."""

    operands: tuple['Condition', ...]


@dataclasses.dataclass(frozen=True)
class Or:
    """Disjunction of at least two operands."""

    operands: tuple['Condition', ...]


@dataclasses.dataclass(frozen=True)
class Not:
    """Negation of the operand."""

    operand: 'Condition'


Condition = Comparison | Membership | And | Or | Not


@dataclasses.dataclass(frozen=True)
class OrderKey:
    """One key of ``order by``."""

    field: str
    descending: bool = False


@dataclasses.dataclass(frozen=True)
class Show:
    """A query; without ``limit`` only the size of a reply limits its rows."""

    table: TableName
    where: Condition | None = None
    count_by: str | None = None
    order_by: tuple[OrderKey, ...] = ()
    limit: int | None = None


@dataclasses.dataclass(frozen=True)
class StartJob:
    """Start a batch job."""

    spec: specs.JobSpec
    expected_version: int | None = None


@dataclasses.dataclass(frozen=True)
class StartService:
    """Start a latency-critical service."""

    spec: specs.ServiceSpec
    expected_version: int | None = None


@dataclasses.dataclass(frozen=True)
class StopJob:
    """Cancel all tasks of a job."""

    name: str
    expected_version: int | None = None


@dataclasses.dataclass(frozen=True)
class StopService:
    """Remove a service; its replicas are stopped."""

    name: str
    expected_version: int | None = None


@dataclasses.dataclass(frozen=True)
class Drain:
    """Take a data centre, worker or service out of service.

    ``unseen`` allows a name that no process has reported yet.
    """

    place: Place
    name: str
    unseen: bool = False
    expected_version: int | None = None


@dataclasses.dataclass(frozen=True)
class Return:
    """Return a drained data centre, worker or service to service."""

    place: Place
    name: str
    expected_version: int | None = None


@dataclasses.dataclass(frozen=True)
class ChangeService:
    """Change properties of a service; those that are None are unchanged."""

    name: str
    team: str | None = None
    work_class: str | None = None
    replicas: int | None = None
    millicores: int | None = None
    memory_mb: int | None = None
    accelerators: int | None = None
    max_run_s: float | None = None
    latency_target_ms: float | None = None
    data_centres: tuple[str, ...] | None = None
    expected_version: int | None = None


@dataclasses.dataclass(frozen=True)
class ChangeTeam:
    """Add or change a team; properties that are None are unchanged."""

    name: str
    quota: resources.Resources | None = None
    may_borrow: bool | None = None
    expected_version: int | None = None


@dataclasses.dataclass(frozen=True)
class ChangePolicy:
    """Choose a policy; its parameters are sorted by name."""

    kind: PolicyKind
    name: str
    parameters: tuple[tuple[str, str | int | float | bool], ...] = ()
    expected_version: int | None = None


@dataclasses.dataclass(frozen=True)
class Cancel:
    """Cancel all tasks or jobs that meet a condition, as one batch."""

    table: TableName
    where: Condition
    expected_version: int | None = None


SettingsCommand = (
    StartService
    | StopService
    | Drain
    | Return
    | ChangeService
    | ChangeTeam
    | ChangePolicy
)
JobCommand = StartJob | StopJob | Cancel
Change = SettingsCommand | JobCommand
Command = Show | Change
