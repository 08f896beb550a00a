"""Hypothesis strategies for command nodes."""

from hypothesis import strategies as st

from citronrail import language
from citronrail.model import resources
from citronrail.model import specs

texts = st.text(st.characters(exclude_categories=['Cs']), max_size=12)
fields = st.from_regex(r'[a-z_]{1,12}', fullmatch=True).filter(
    lambda name: name not in language.keywords()
)
names = (
    st.sampled_from(['leon', 'team', 'data_centre', 'w-07', 'a b', '"', ';#'])
    | texts
)
counts = st.integers(1, 1_000_000)
times_s = st.integers(0, 2**36).map(lambda ms: ms / 1000)
run_s = st.integers(1, 10**10).map(lambda ms: ms / 1000)
sizes = st.builds(
    resources.Resources,
    st.integers(0, 10**9),
    st.integers(0, 2**40),
    st.integers(0, 64),
)
data_centres = st.lists(names, max_size=3, unique=True).map(tuple)
versions = st.none() | st.integers(0, 2**50)
plain_values = (
    st.booleans()
    | st.integers(-(10**17), 10**17)
    | st.floats(allow_nan=False, allow_infinity=False)
    | names
)
values = (
    plain_values
    | st.builds(language.Memory, st.integers(0, 2**40))
    | st.builds(language.Duration, st.integers(0, 10**10))
    | st.builds(language.Time, times_s)
)
comparisons = st.builds(
    language.Comparison,
    fields,
    st.sampled_from(language.Operator).filter(
        lambda operator: operator is not language.Operator.MATCHES
    ),
    values,
) | st.builds(
    language.Comparison,
    fields,
    st.just(language.Operator.MATCHES),
    st.sampled_from(['^a.*b$', 'x', '[0-9]+"', '']),
)
memberships = st.builds(
    language.Membership, fields, st.lists(values, min_size=1).map(tuple)
)


def _compound(inner):
    several = st.lists(inner, min_size=2, max_size=3).map(tuple)
    return (
        st.builds(language.And, several)
        | st.builds(language.Or, several)
        | st.builds(language.Not, inner)
    )


conditions = st.recursive(comparisons | memberships, _compound, max_leaves=6)
shows = st.builds(
    language.Show,
    st.sampled_from(language.TableName),
    st.none() | conditions,
    st.none() | fields,
    st.lists(st.builds(language.OrderKey, fields, st.booleans())).map(tuple),
    st.none() | st.integers(0, 1_000_000),
)
job_specs = st.builds(
    specs.JobSpec,
    job_id=names,
    team=names,
    work_class=names,
    task_count=counts,
    resources=sizes,
    declared_run_s=run_s,
    finish_before=st.none() | times_s,
    data_centres=data_centres,
    argument=texts,
)
service_specs = st.builds(
    specs.ServiceSpec,
    name=names,
    team=names,
    work_class=names,
    replicas=st.integers(0, 1_000_000),
    resources=sizes,
    max_run_s=run_s,
    latency_target_ms=st.integers(1, 10**9).map(float),
    data_centres=data_centres,
    draining=st.just(False),
)
service_changes = st.builds(
    language.ChangeService,
    names,
    replicas=st.integers(0, 1_000_000),
    team=st.none() | names,
    work_class=st.none() | names,
    millicores=st.none() | st.integers(0, 10**9),
    memory_mb=st.none() | st.integers(0, 2**40),
    accelerators=st.none() | st.integers(0, 64),
    max_run_s=st.none() | run_s,
    latency_target_ms=st.none() | st.integers(1, 10**9).map(float),
    data_centres=st.none() | data_centres.filter(bool),
    expected_version=versions,
)
places = st.sampled_from(language.Place)
settings_commands = st.one_of(
    st.builds(language.StartService, service_specs, versions),
    st.builds(language.StopService, names, versions),
    st.builds(language.Drain, places, names, st.booleans(), versions),
    st.builds(language.Return, places, names, versions),
    service_changes,
    st.builds(
        language.ChangeTeam, names, sizes, st.none() | st.booleans(), versions
    ),
    st.builds(
        language.ChangePolicy,
        st.sampled_from(language.PolicyKind),
        names,
        st.dictionaries(names, plain_values, max_size=3).map(
            lambda parameters: tuple(sorted(parameters.items()))
        ),
        versions,
    ),
)
job_commands = st.one_of(
    st.builds(language.StartJob, job_specs, versions),
    st.builds(language.StopJob, names, versions),
    st.builds(
        language.Cancel,
        st.sampled_from([language.TableName.TASKS, language.TableName.JOBS]),
        conditions,
        versions,
    ),
)
commands = shows | settings_commands | job_commands
