"""Checks of an operators' configuration before it is put in force.

Handles: a configuration that would leave a queue without jobs, reject jobs
that it should accept, or not take effect at all. The checks are pure
functions over the decoded configuration.
"""

import collections
import collections.abc
import dataclasses
import enum
import math

from citronrail.model import workflows

Value = str | int | float | bool
_Items = collections.abc.Sequence[workflows.Queue | workflows.WorkerPool]


class Severity(enum.Enum):
    """How serious a finding is; only errors and warnings need action."""

    ERROR = 'error'
    WARNING = 'warning'
    NOTE = 'note'


class Part(enum.Enum):
    """A part of the configuration that a finding or difference is about."""

    GENERAL = ''
    QUEUE = 'route'
    POOL = 'service'
    LIMITS = 'limits'


class Change(enum.Enum):
    """How a part differs from the configuration in force."""

    ADDED = 'added'
    REMOVED = 'removed'
    CHANGED = 'changed'


@dataclasses.dataclass(frozen=True)
class Subject:
    """What a finding or difference is about.

    ``index`` is the position of the queue or pool in its configuration.
    ``field`` is the attribute of :class:`workflows.Queue`,
    :class:`workflows.WorkerPool` or :class:`workflows.OperatorConfig`; ''
    stands for the whole part.
    """

    part: Part
    index: int = 0
    name: str = ''
    field: str = ''


@dataclasses.dataclass(frozen=True)
class Finding:
    """A problem in a configuration."""

    severity: Severity
    subject: Subject
    text: str


@dataclasses.dataclass(frozen=True)
class Difference:
    """A difference from the configuration in force.

    ``old`` and ``new`` are set only if a field has changed.
    """

    change: Change
    subject: Subject
    old: Value | None = None
    new: Value | None = None


def findings(
    config: workflows.OperatorConfig,
    *,
    in_force: workflows.OperatorConfig | None = None,
    complete: bool = True,
) -> tuple[Finding, ...]:
    """Return the problems of a configuration.

    :param config: the configuration.
    :param in_force: the configuration that it replaces, None if unknown.
    :param complete: whether ``config`` contains all routes and services; if
        not, references between them are not checked.
    :returns: the problems, in the order of the configuration.
    """
    return (
        *_version_findings(config, in_force),
        *(
            finding
            for index, queue in enumerate(config.queues)
            for finding in _queue_findings(index, queue)
        ),
        *_repeated_name_findings(Part.QUEUE, config.queues),
        *_shadowed_queue_findings(config.queues),
        *_repeated_name_findings(Part.POOL, config.pools),
        *(_reference_findings(config) if complete else ()),
        *_limit_findings(config),
    )


def differences(
    in_force: workflows.OperatorConfig, config: workflows.OperatorConfig
) -> tuple[Difference, ...]:
    """Return the differences between two configurations.

    Queues and pools are identified by their names, so a new order is not a
    difference.

    :param in_force: the configuration in force.
    :param config: the configuration that would replace it.
    :returns: differences of the version, queues, pools and limits.
    """
    return (
        *_field_differences(
            Subject(Part.GENERAL), in_force, config, ('version',)
        ),
        *_item_differences(Part.QUEUE, in_force.queues, config.queues),
        *_item_differences(Part.POOL, in_force.pools, config.pools),
        *_field_differences(
            Subject(Part.LIMITS),
            in_force,
            config,
            ('max_body_bytes', 'max_header_bytes'),
        ),
    )


def _version_findings(
    config: workflows.OperatorConfig,
    in_force: workflows.OperatorConfig | None,
) -> collections.abc.Iterator[Finding]:
    if in_force is not None and config.version <= in_force.version:
        yield Finding(
            Severity.ERROR,
            Subject(Part.GENERAL, field='version'),
            f'version {config.version} is not above {in_force.version}, the '
            f'version in force; it would be ignored',
        )


def _queue_findings(
    index: int, queue: workflows.Queue
) -> collections.abc.Iterator[Finding]:
    def error(field: str, text: str) -> Finding:
        subject = Subject(Part.QUEUE, index, queue.name, field)
        return Finding(Severity.ERROR, subject, text)

    if not queue.name:
        yield error('name', 'the name is empty')
    if not queue.host:
        yield error('host', 'the host is empty: the route never matches')
    if not queue.prefix.startswith('/'):
        yield error(
            'prefix',
            'the prefix does not start with "/": the route never matches',
        )
    if queue.priority < 0:
        yield error(
            'priority',
            f'the priority is {queue.priority}; 0 is the most urgent one',
        )
    if queue.max_attempts < 1:
        yield error(
            'max_attempts',
            f'{queue.max_attempts} attempts are allowed; at least 1 is needed',
        )
    if not math.isfinite(queue.stretch) or queue.stretch < 1:
        yield error(
            'stretch',
            f'the stretch is {queue.stretch:g}; below 1, the objective is '
            f'shorter than the critical path of a job',
        )
    valid = True
    for field, label in (
        ('objective_s', 'target completion'),
        ('timeout_s', 'timeout'),
    ):
        seconds = getattr(queue, field)
        if not math.isfinite(seconds) or seconds < 0:
            valid = False
            yield error(
                field,
                f'the {label} is {seconds:g} s; it must be 0 or more',
            )
    # A timeout of 0 means that the route has none.
    if valid and 0 < queue.timeout_s < queue.objective_s:
        yield error(
            'timeout_s',
            f'the timeout of {queue.timeout_s:g} s is below the objective, '
            f'which is at least {queue.objective_s:g} s',
        )


def _repeated_name_findings(
    part: Part,
    items: _Items,
) -> collections.abc.Iterator[Finding]:
    seen: set[str] = set()
    for index, item in enumerate(items):
        if item.name in seen:
            yield Finding(
                Severity.ERROR,
                Subject(part, index, item.name, 'name'),
                f'an earlier {part.value} has the same name; its settings '
                f'apply to both',
            )
        seen.add(item.name)


def _shadowed_queue_findings(
    queues: tuple[workflows.Queue, ...],
) -> collections.abc.Iterator[Finding]:
    """Report queues that lose each request to an earlier queue."""
    name_by_address: dict[tuple[str, str], str] = {}
    for index, queue in enumerate(queues):
        address = (queue.host, queue.prefix)
        if address in name_by_address:
            yield Finding(
                Severity.ERROR,
                Subject(Part.QUEUE, index, queue.name, 'prefix'),
                f'route "{name_by_address[address]}" has the same host and '
                f'prefix: this route never matches',
            )
        name_by_address.setdefault(address, queue.name)


def _reference_findings(
    config: workflows.OperatorConfig,
) -> collections.abc.Iterator[Finding]:
    if not config.queues:
        yield Finding(
            Severity.WARNING,
            Subject(Part.QUEUE),
            'there are no routes: every request is rejected',
        )
    pools = {pool.name for pool in config.pools}
    used = {queue.service for queue in config.queues}
    for index, queue in enumerate(config.queues):
        if queue.service not in pools:
            yield Finding(
                Severity.ERROR,
                Subject(Part.QUEUE, index, queue.name, 'service'),
                f'there is no service "{queue.service}"',
            )
    for index, pool in enumerate(config.pools):
        if pool.name not in used:
            yield Finding(
                Severity.WARNING,
                Subject(Part.POOL, index, pool.name, 'name'),
                'no route uses this service',
            )


def _limit_findings(
    config: workflows.OperatorConfig,
) -> collections.abc.Iterator[Finding]:
    def error(field: str, text: str) -> Finding:
        return Finding(Severity.ERROR, Subject(Part.LIMITS, field=field), text)

    if config.max_body_bytes < 1:
        yield error(
            'max_body_bytes',
            f'bodies of up to {config.max_body_bytes} bytes are accepted: '
            f'every job is rejected',
        )
    if config.max_header_bytes < 0:
        yield error(
            'max_header_bytes',
            f'headers of up to {config.max_header_bytes} bytes are accepted: '
            f'every request is rejected',
        )
    if config.max_header_bytes > config.max_body_bytes:
        yield error(
            'max_header_bytes',
            f'the limit of headers, {config.max_header_bytes} bytes, is '
            f'above that of bodies, {config.max_body_bytes} bytes',
        )


def _item_differences(
    part: Part,
    old: _Items,
    new: _Items,
) -> collections.abc.Iterator[Difference]:
    old_items, new_items = _by_name(old), _by_name(new)
    for key, (index, item) in old_items.items():
        if key not in new_items:
            yield Difference(
                Change.REMOVED, Subject(part, index, str(item.name))
            )
    for key, (index, item) in new_items.items():
        subject = Subject(part, index, str(item.name))
        if key not in old_items:
            yield Difference(Change.ADDED, subject)
            continue
        fields = [field.name for field in dataclasses.fields(item)]
        yield from _field_differences(subject, old_items[key][1], item, fields)


def _by_name(
    items: _Items,
) -> dict[tuple[str, int], tuple[int, workflows.Queue | workflows.WorkerPool]]:
    """Return positions and items by name and occurrence of the name."""
    occurrences: collections.Counter[str] = collections.Counter()
    found = {}
    for index, item in enumerate(items):
        found[(str(item.name), occurrences[item.name])] = (index, item)
        occurrences[item.name] += 1
    return found


def _field_differences(
    subject: Subject,
    old: object,
    new: object,
    fields: collections.abc.Iterable[str],
) -> collections.abc.Iterator[Difference]:
    for field in fields:
        before, after = getattr(old, field), getattr(new, field)
        if before != after:
            yield Difference(
                Change.CHANGED,
                dataclasses.replace(subject, field=field),
                before,
                after,
            )
