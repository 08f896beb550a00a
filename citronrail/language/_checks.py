"""Validates services, jobs and teams against the settings and the fleet."""

import collections.abc
import functools
import operator
import re

from citronrail.language import _literals
from citronrail.language import _validation
from citronrail.model import resources
from citronrail.model import settings as settings_model
from citronrail.model import specs

MAX_NAME_CHARACTERS = 100
MAX_ARGUMENT_CHARACTERS = 4096
MAX_REPLICAS = 10_000
MAX_TASKS = 100_000
# The settings are stored as one value of at most 1 MB; at about 400 bytes per
# service these limits keep them below that size.
MAX_SERVICES = 2000
MAX_TEAMS = 500
MAX_DATA_CENTRES = 200
MAX_DRAINED_WORKERS = 5000
MAX_PARAMETERS = 50
_NAME = re.compile(r'[A-Za-z0-9_][A-Za-z0-9_.:@-]*')


def check_name(name: str, object_kind: str) -> None:
    """Check the length and the characters of a new name.

    :param name: the name.
    :param object_kind: kind of the named object, for the error message.
    :raises citronrail.errors.CommandRefused: if the name is invalid.
    """
    if len(name) > MAX_NAME_CHARACTERS or not _NAME.fullmatch(name):
        raise _validation.refusal(
            f'the name of a {object_kind} has 1 to '
            f'{MAX_NAME_CHARACTERS} letters, digits and _ . : @ -'
        )


def check_team(settings: settings_model.Settings, team: str) -> None:
    """Check that a team exists.

    :param settings: the current settings.
    :param team: name of the team.
    :raises citronrail.errors.CommandRefused: if there is no such team.
    """
    if team not in settings.teams:
        raise _validation.refusal(
            f'there is no team "{team}"'
            f'{_validation.suggest_names(team, settings.teams)} '
            f'A team is added with: change team NAME quota ...'
        )


def check_data_centres(
    settings: settings_model.Settings,
    context: _validation.ValidationContext,
    names: collections.abc.Sequence[str],
) -> None:
    """Check that the named data centres are known and in service.

    :param settings: the current settings.
    :param context: known workers and data centres.
    :param names: the data centres; empty for all.
    :raises citronrail.errors.CommandRefused: if one is unknown or out of
        service.
    """
    known = context.known_data_centres(settings)
    for name in names:
        if name not in known:
            raise _validation.refusal(
                f'no worker of a data centre "{name}" was seen'
                f'{_validation.suggest_names(name, known)}'
            )
        if not settings.data_centre_in_service(name):
            since = settings.data_centres[name].changed_in
            raise _validation.refusal(
                f'data centre "{name}" is out of service since settings '
                f'version {since}; it comes back with: '
                f'return data_centre {name}'
            )


def check_size(
    context: _validation.ValidationContext,
    amount: resources.Resources,
    names: collections.abc.Sequence[str],
) -> None:
    """Check that at least one known worker can hold one task or replica.

    :param context: known workers; if there are none, every size is accepted.
    :param amount: declared size.
    :param names: the allowed data centres; empty for all.
    :raises citronrail.errors.CommandRefused: if it fits no worker.
    """
    if amount.millicores <= 0 or amount.memory_mb <= 0:
        raise _validation.refusal('cores and memory must be above zero')
    allowed = [
        worker.capacity
        for worker in context.workers
        if not names or worker.data_centre in names
    ]
    if not allowed or any(amount.fits_in(size) for size in allowed):
        return
    largest = functools.reduce(resources.Resources.maximum, allowed)
    raise _validation.refusal(
        f'{describe(amount)} fits no worker; the largest amounts of any '
        f'worker seen there are {describe(largest)}'
    )


def check_job(
    settings: settings_model.Settings,
    context: _validation.ValidationContext,
    spec: specs.JobSpec,
) -> None:
    """Validate a job before it is sent to the owner of its range.

    :param settings: the current settings.
    :param context: known workers and data centres.
    :param spec: the job.
    :raises citronrail.errors.CommandRefused: if it can't be accepted.
    """
    check_name(spec.job_id, 'job')
    check_name(spec.work_class, 'class')
    check_team(settings, spec.team)
    if not 1 <= spec.task_count <= MAX_TASKS:
        raise _validation.refusal(f'a job has 1 to {MAX_TASKS} tasks')
    if spec.declared_run_s <= 0:
        raise _validation.refusal('the run time must be above zero')
    if len(spec.argument) > MAX_ARGUMENT_CHARACTERS:
        raise _validation.refusal(
            f'an argument has at most {MAX_ARGUMENT_CHARACTERS} characters'
        )
    if spec.finish_before is not None:
        _check_finish_before(context, spec.finish_before)
    check_data_centres(settings, context, spec.data_centres)
    check_size(context, spec.resources, spec.data_centres)
    check_quota(settings, spec.team, spec.resources, 'one task')


def _check_finish_before(
    context: _validation.ValidationContext, finish_before: float
) -> None:
    if finish_before <= context.now_unix_s:
        raise _validation.refusal(
            f'the time {_literals.format_time(finish_before)} has passed'
        )


def check_service(
    settings: settings_model.Settings,
    context: _validation.ValidationContext,
    spec: specs.ServiceSpec,
) -> None:
    """Validate a new or changed service.

    :param settings: the settings without the service or with its old version.
    :param context: known workers and data centres.
    :param spec: the service.
    :raises citronrail.errors.CommandRefused: if it can't be accepted.
    """
    check_name(spec.name, 'service')
    check_name(spec.work_class, 'class')
    check_team(settings, spec.team)
    if not 0 <= spec.replicas <= MAX_REPLICAS:
        raise _validation.refusal(
            f'a service has 0 to {MAX_REPLICAS} replicas'
        )
    if spec.max_run_s <= 0 or spec.latency_target_ms <= 0:
        raise _validation.refusal(
            'the run time and the latency target must be above zero'
        )
    check_data_centres(settings, context, spec.data_centres)
    check_size(context, spec.resources, spec.data_centres)
    others = team_usage(settings, spec.team, excluding=spec.name)
    total = others + multiply(spec.resources, spec.replicas)
    # A team above its quota may still reduce its services.
    if not total.fits_in(team_usage(settings, spec.team)):
        check_quota(settings, spec.team, total, 'the services of the team')


def check_quota(
    settings: settings_model.Settings,
    team: str,
    amount: resources.Resources,
    description: str,
) -> None:
    """Check that an amount is within the largest allocation of a team.

    :param settings: the current settings, which contain the team.
    :param team: the team.
    :param amount: the total amount that is requested.
    :param description: description of the amount, for the error message.
    :raises citronrail.errors.CommandRefused: if it exceeds the quota of the
        team or, for a team that may borrow, the quotas of all teams.
    """
    limit = quota_limit(settings, team)
    if amount.fits_in(limit):
        return
    source = f'the quota of team "{team}" holds'
    if settings.teams[team].may_borrow:
        source = 'the quotas of all teams hold'
    raise _validation.refusal(
        f'{description} would need {describe(amount)}, but {source} '
        f'{describe(limit)}'
    )


def quota_limit(
    settings: settings_model.Settings, team: str
) -> resources.Resources:
    """Return the largest allocation that a team can have.

    :param settings: the current settings, which contain the team.
    :param team: the team.
    :returns: the quotas of all teams if it may borrow, else its own.
    """
    team_settings = settings.teams[team]
    return (
        total_quota(settings)
        if team_settings.may_borrow
        else team_settings.quota
    )


def total_quota(settings: settings_model.Settings) -> resources.Resources:
    """Return the sum of the quotas of all teams.

    :param settings: the current settings.
    :returns: the sum.
    """
    quotas = (team.quota for team in settings.teams.values())
    return functools.reduce(operator.add, quotas, resources.Resources())


def team_usage(
    settings: settings_model.Settings, team: str, excluding: str = ''
) -> resources.Resources:
    """Return the declared size of all services of a team.

    :param settings: the current settings.
    :param team: the team.
    :param excluding: name of a service to exclude, or ''.
    :returns: the sum over all replicas.
    """
    sizes = (
        multiply(service.resources, service.replicas)
        for service in settings.services.values()
        if service.team == team and service.name != excluding
    )
    return functools.reduce(operator.add, sizes, resources.Resources())


def multiply(amount: resources.Resources, count: int) -> resources.Resources:
    """Multiply an amount by a count.

    :param amount: size of one task or replica.
    :param count: number of them.
    :returns: the product.
    """
    return resources.Resources(
        amount.millicores * count,
        amount.memory_mb * count,
        amount.accelerators * count,
    )


def describe(amount: resources.Resources) -> str:
    """Format an amount for a message.

    :param amount: any amount.
    :returns: text such as ``2 cores, 4GB and 1 accelerators``.
    """
    cores = _literals.format_cores(amount.millicores)
    memory = _literals.format_memory(amount.memory_mb)
    if not amount.accelerators:
        return f'{cores} cores and {memory}'
    return f'{cores} cores, {memory} and {amount.accelerators} accelerators'
