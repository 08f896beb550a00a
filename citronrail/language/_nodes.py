"""Frozen nodes of the command language."""

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
    """Comparisons of a condition; ``~`` searches a regular expression."""

    EQUAL = '='
    NOT_EQUAL = '!='
    LESS = '<'
    AT_MOST = '<='
    GREATER = '>'
    AT_LEAST = '>='
    MATCHES = '~'


class Place(enum.Enum):
    """What ``drain`` and ``return`` apply to."""

    DATA_CENTRE = 'data_centre'
    WORKER = 'worker'
    SERVICE = 'service'


class PolicyKind(enum.Enum):
    """The two policies that operators choose."""

    PLACEMENT = 'placement'
    BALANCING = 'balancing'


@dataclasses.dataclass(frozen=True)
class Memory:
    """An amount of memory in a condition."""

    memory_mb: int


@dataclasses.dataclass(frozen=True)
class Duration:
    """A length of time in a condition."""

    milliseconds: int


@dataclasses.dataclass(frozen=True)
class Time:
    """A point of time in a condition, Unix time in seconds."""

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
    """All operands hold; there are at least two."""

    operands: tuple['Condition', ...]


@dataclasses.dataclass(frozen=True)
class Or:
    """At least one operand holds; there are at least two."""

    operands: tuple['Condition', ...]


@dataclasses.dataclass(frozen=True)
class Not:
    """The operand doesn't hold."""

    operand: 'Condition'


Condition = Comparison | Membership | And | Or | Not


@dataclasses.dataclass(frozen=True)
class OrderKey:
    """One key of ``order by``."""

    field: str
    descending: bool = False


@dataclasses.dataclass(frozen=True)
class Show:
    """A query; ``limit`` None shows every row up to the reply's limit."""

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
    """Take a place out of service.

    ``unseen`` accepts a name that no process has reported yet.
    """

    place: Place
    name: str
    unseen: bool = False
    expected_version: int | None = None


@dataclasses.dataclass(frozen=True)
class Return:
    """Bring a drained place back into service."""

    place: Place
    name: str
    expected_version: int | None = None


@dataclasses.dataclass(frozen=True)
class ChangeService:
    """Change the given properties of a service; None leaves one as it is."""

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
    """Add a team or change its quota; None leaves a property as it is."""

    name: str
    quota: resources.Resources | None = None
    may_borrow: bool | None = None
    expected_version: int | None = None


@dataclasses.dataclass(frozen=True)
class ChangePolicy:
    """Choose a policy and its parameters, sorted by name."""

    kind: PolicyKind
    name: str
    parameters: tuple[tuple[str, str | int | float | bool], ...] = ()
    expected_version: int | None = None


@dataclasses.dataclass(frozen=True)
class Cancel:
    """Cancel all tasks, or all jobs, that meet a condition, as one batch."""

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
