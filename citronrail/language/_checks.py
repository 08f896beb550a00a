"""Checks of services, jobs and teams against settings and fleet."""

import collections.abc
import functools
import operator
import re

from citronrail.language import _facts
from citronrail.language import _literals
from citronrail.model import resources
from citronrail.model import settings as settings_model
from citronrail.model import specs

MAX_NAME_CHARACTERS = 100
MAX_ARGUMENT_CHARACTERS = 4096
MAX_REPLICAS = 10_000
MAX_TASKS = 100_000
# The document is one value of at most 1 MB in the store; at about 400 bytes
# a service these limits keep it under that size.
MAX_SERVICES = 2000
MAX_TEAMS = 500
MAX_DATA_CENTRES = 200
MAX_DRAINED_WORKERS = 5000
MAX_PARAMETERS = 50
_NAME = re.compile(r'[A-Za-z0-9_][A-Za-z0-9_.:@-]*')


def check_name(name: str, what: str) -> None:
    """Check that a new name is short and has usual characters only.

    :param name: the name.
    :param what: what it names, for the error.
    :raises citronrail.errors.CommandRefused: if it doesn't fit.
    """
    if len(name) > MAX_NAME_CHARACTERS or not _NAME.fullmatch(name):
        raise _facts.refuse(
            f'the name of a {what} has 1 to {MAX_NAME_CHARACTERS} letters, '
            f'digits and _ . : @ -'
        )


def check_team(settings: settings_model.Settings, team: str) -> None:
    """Check that a team exists.

    :param settings: the present settings.
    :param team: name of the team.
    :raises citronrail.errors.CommandRefused: if there is no such team.
    """
    if team not in settings.teams:
        raise _facts.refuse(
            f'there is no team "{team}"'
            f'{_facts.near_miss(team, settings.teams)} '
            f'A team is added with: change team NAME quota ...'
        )


def check_data_centres(
    settings: settings_model.Settings,
    facts: _facts.Facts,
    names: collections.abc.Sequence[str],
) -> None:
    """Check that work may be placed in the named data centres.

    :param settings: the present settings.
    :param facts: what is known of the fleet.
    :param names: the data centres; none stands for all.
    :raises citronrail.errors.CommandRefused: if one is unknown or taken out.
    """
    known = facts.known_data_centres(settings)
    for name in names:
        if name not in known:
            raise _facts.refuse(
                f'no worker of a data centre "{name}" was seen'
                f'{_facts.near_miss(name, known)}'
            )
        if not settings.data_centre_in_service(name):
            since = settings.data_centres[name].changed_in
            raise _facts.refuse(
                f'data centre "{name}" is out of service since settings '
                f'version {since}; it comes back with: '
                f'return data_centre {name}'
            )


def check_size(
    facts: _facts.Facts,
    amount: resources.Resources,
    names: collections.abc.Sequence[str],
) -> None:
    """Check that some worker can hold one task or replica.

    :param facts: what is known of the fleet; no worker passes everything.
    :param amount: declared size.
    :param names: the allowed data centres; none stands for all.
    :raises citronrail.errors.CommandRefused: if it fits no worker.
    """
    if amount.millicores <= 0 or amount.memory_mb <= 0:
        raise _facts.refuse('cores and memory must be above zero')
    allowed = [
        worker.capacity
        for worker in facts.workers
        if not names or worker.data_centre in names
    ]
    if not allowed or any(amount.fits_in(size) for size in allowed):
        return
    largest = functools.reduce(resources.Resources.maximum, allowed)
    raise _facts.refuse(
        f'{describe(amount)} fits no worker; the largest amounts of any '
        f'worker seen there are {describe(largest)}'
    )


def check_job(
    settings: settings_model.Settings,
    facts: _facts.Facts,
    spec: specs.JobSpec,
) -> None:
    """Check a job before it is given to the owner of its range.

    :param settings: the present settings.
    :param facts: what is known of the fleet.
    :param spec: the job.
    :raises citronrail.errors.CommandRefused: if it can't be accepted.
    """
    check_name(spec.job_id, 'job')
    check_name(spec.work_class, 'class')
    check_team(settings, spec.team)
    if not 1 <= spec.task_count <= MAX_TASKS:
        raise _facts.refuse(f'a job has 1 to {MAX_TASKS} tasks')
    if spec.declared_run_s <= 0:
        raise _facts.refuse('the run time must be above zero')
    if len(spec.argument) > MAX_ARGUMENT_CHARACTERS:
        raise _facts.refuse(
            f'an argument has at most {MAX_ARGUMENT_CHARACTERS} characters'
        )
    if spec.finish_before is not None:
        _check_finish(facts, spec.finish_before)
    check_data_centres(settings, facts, spec.data_centres)
    check_size(facts, spec.resources, spec.data_centres)
    check_loan(settings, spec.team, spec.resources, 'one task')


def _check_finish(facts: _facts.Facts, finish_before: float) -> None:
    if finish_before <= facts.now_unix_s:
        raise _facts.refuse(
            f'the time {_literals.format_time(finish_before)} has passed'
        )


def check_service(
    settings: settings_model.Settings,
    facts: _facts.Facts,
    spec: specs.ServiceSpec,
) -> None:
    """Check a new or changed service.

    :param settings: the settings without the service or with its old form.
    :param facts: what is known of the fleet.
    :param spec: the service.
    :raises citronrail.errors.CommandRefused: if it can't be accepted.
    """
    check_name(spec.name, 'service')
    check_name(spec.work_class, 'class')
    check_team(settings, spec.team)
    if not 0 <= spec.replicas <= MAX_REPLICAS:
        raise _facts.refuse(f'a service has 0 to {MAX_REPLICAS} replicas')
    if spec.max_run_s <= 0 or spec.latency_target_ms <= 0:
        raise _facts.refuse(
            'the run time and the latency target must be above zero'
        )
    check_data_centres(settings, facts, spec.data_centres)
    check_size(facts, spec.resources, spec.data_centres)
    others = team_usage(settings, spec.team, without=spec.name)
    total = others + times(spec.resources, spec.replicas)
    # A team that is over its quota may still make its services smaller.
    if not total.fits_in(team_usage(settings, spec.team)):
        check_loan(settings, spec.team, total, 'the services of the team')


def check_loan(
    settings: settings_model.Settings,
    team: str,
    amount: resources.Resources,
    what: str,
) -> None:
    """Check that a team can ever hold an amount.

    :param settings: the present settings, which name the team.
    :param team: the team.
    :param amount: what it wants to hold.
    :param what: description of the amount, for the error.
    :raises citronrail.errors.CommandRefused: if it exceeds the quota of the
        team or, for a team that may borrow, the quotas of all teams.
    """
    limit = loan_limit(settings, team)
    if amount.fits_in(limit):
        return
    source = f'the quota of team "{team}" holds'
    if settings.teams[team].may_borrow:
        source = 'the quotas of all teams hold'
    raise _facts.refuse(
        f'{what} would need {describe(amount)}, but {source} {describe(limit)}'
    )


def loan_limit(
    settings: settings_model.Settings, team: str
) -> resources.Resources:
    """Return the most that a team can ever hold.

    :param settings: the present settings, which name the team.
    :param team: the team.
    :returns: the quotas of all teams if it may borrow, else its own.
    """
    share = settings.teams[team]
    return total_quota(settings) if share.may_borrow else share.quota


def total_quota(settings: settings_model.Settings) -> resources.Resources:
    """Add up the quotas of all teams.

    :param settings: the present settings.
    :returns: the sum.
    """
    quotas = (team.quota for team in settings.teams.values())
    return functools.reduce(operator.add, quotas, resources.Resources())


def team_usage(
    settings: settings_model.Settings, team: str, without: str = ''
) -> resources.Resources:
    """Add up the services of a team.

    :param settings: the present settings.
    :param team: the team.
    :param without: name of a service to leave out, or ''.
    :returns: the sum over all replicas.
    """
    sizes = (
        times(service.resources, service.replicas)
        for service in settings.services.values()
        if service.team == team and service.name != without
    )
    return functools.reduce(operator.add, sizes, resources.Resources())


def times(amount: resources.Resources, count: int) -> resources.Resources:
    """Multiply an amount.

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
    """Describe an amount for an operator.

    :param amount: any amount.
    :returns: such as ``2 cores, 4GB and 1 accelerators``.
    """
    cores = _literals.format_cores(amount.millicores)
    memory = _literals.format_memory(amount.memory_mb)
    if not amount.accelerators:
        return f'{cores} cores and {memory}'
    return f'{cores} cores, {memory} and {amount.accelerators} accelerators'
