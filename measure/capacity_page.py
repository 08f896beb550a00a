"""Writes docs/CAPACITY.md: ``python -m measure.capacity_page``.

Extrapolates ``build/capacity.json`` and ``build/path.json`` to the target
size and fills the figures into ``measure/capacity_page.md``.
"""

import json
import pathlib
import typing

from measure import _fit
from measure import _growing
from measure import capacity
from measure import path as path_measure

TEMPLATE = pathlib.Path('measure/capacity_page.md')
PAGE = pathlib.Path('docs/CAPACITY.md')
NODES = capacity.NODES
TASKS = 15_700
SHARDS = 8
SHARD_TASKS = 15_000
COMMITS_PER_SHARD_PER_S = 5.0  # one each 0.2 s
SETTINGS_KB = 570 * 0.24
CONFIRMS_PER_S = 2.0
NODES_PER_DATA_CENTRE = NODES // 8
CHANGE_CALLS_PER_S = 0.1  # 2,100 a day with retries, rounded up

Json = dict[str, typing.Any]


def fit(data: Json, name: str) -> _fit.LinearFit:
    """Return the fitted line of one measured quantity."""
    values = data['slopes'][name]
    return _fit.fit_line(values['x'], values['y'])


def figures(data: Json, path: Json) -> dict[str, str]:
    """Compute the figures of the page.

    :param data: content of ``build/capacity.json``.
    :param path: content of ``build/path.json``.
    :returns: formatted texts by placeholder of the template.
    """
    entries = data['by_entries'][-1]['entries']
    starts = capacity.PEAK_STARTS_PER_S / entries
    knee = round(path['knee_per_s'])
    loaded = path['usage_up_to_the_knee']
    values = {
        'trial': _trial(data, path),
        'entries': str(entries),
        'nodes': str(NODES),
        'tasks_a_node': str(_growing.TASKS_PER_HOST),
        'shards': str(SHARDS),
        'knee': str(knee),
        'path_entry_mb': f'{loaded["entry"]["most_memory_mb"]:.0f}',
        'agent_load_mb': f'{loaded["agent"]["most_memory_mb"]:.0f}',
        'starts_an_entry': f'{starts:.0f}',
        'path_rows': _path_rows(path),
        'settings_rows': _settings_rows(data),
        'naive': str(capacity.PEAK_STARTS_PER_S),
    }
    values.update(_agent(data))
    values.update(_entry(data, entries, starts, knee))
    values.update(_store(data, entries))
    values.update(_settings(data, entries))
    return values


def _trial(data: Json, path: Json) -> str:
    loads = [one['load_average_at_start'] for one in (path, data)]
    text = (
        f'Load averages at the start of the runs: {loads[0]:.1f} (path) and '
        f'{loads[1]:.1f} (capacity).'
    )
    if max(loads) > 2:
        text += (
            ' **The figures are trials**: others used the machine meanwhile.'
        )
    return text


def _agent(data: Json) -> dict[str, str]:
    span = data['by_entries'][-1]
    agents = span['agents']
    used = span['usage']['agent']
    sent = fit(data, 'agent control bytes by entries')
    measured = data['slopes']['agent control bytes by entries']['y']
    rate = sum(
        v for k, v in span['messages'].items() if k.startswith('agent ')
    )
    over = measured[-1] > capacity.CONTROL_BUDGET_BYTES_PER_S
    core_over = used['core_share'] > capacity.CORE_BUDGET
    return {
        'agent_core': f'{used["core_share"]:.4f}',
        'agent_mb': f'{used["most_memory_mb"]:.0f}',
        'agent_bytes': f'{measured[-1]:.0f}',
        'agent_bytes_1': f'{measured[0]:.0f}',
        'agent_bytes_entry': f'{sent.slope:.0f}',
        'agent_messages': f'{rate / agents:.1f}',
        'agent_start_ms': _ms(fit(data, 'agent_s by starts').slope),
        'bytes_verdict': 'The budget of bytes is exceeded.'
        if over
        else 'The budget of bytes holds for the frames.',
        'core_verdict': 'The processor budget is exceeded at rest.'
        if core_over
        else 'The processor budget holds at rest; with requests on top it '
        'is spent by the callers\' load, see the request path.',
    }


def _entry(
    data: Json, entries: int, starts: float, knee: int
) -> dict[str, str]:
    agents, rest = (
        fit(data, 'entry processor by agents'),
        data['by_entries'],
    )
    fleet = rest[0]['agents']
    tasks = fleet * _growing.TASKS_PER_HOST
    # With more entries, each owns fewer tasks but still serves all agents.
    saved = (
        rest[0]['usage']['entry']['core_share']
        - rest[-1]['usage']['entry']['core_share']
    )
    task = max(0.0, saved / (tasks * (1 - 1 / entries)))
    agent = max(0.0, agents.slope - task * _growing.TASKS_PER_HOST)
    total = agents.base + agent * NODES + task * TASKS / entries
    start = fit(data, 'entry_s by starts').slope
    rounds = fit(data, 'placement round on 800 hosts by starts')
    control = data['by_entries'][-1]
    scale = NODES / fleet / entries
    sent = sum(
        v for k, v in control['bytes'].items() if k.startswith('entry ')
    )
    sent_messages = sum(
        v for k, v in control['messages'].items() if k.startswith('entry ')
    )
    verdict = (
        f'An entry runs on one core. At rest it would use {total:.2f} of it '
        f'and {start * starts:.2f} for the starts of the peak; what is left '
        f'serves requests: {knee} a second at the knee of an entry that does '
        f'nothing else.'
    )
    if total + start * starts > 1:
        verdict += ' **That is more than a core: more entries do not help '
        verdict += 'against the cost of agents, which each entry hears all.**'
    return {
        'entry_base': f'{agents.base:.3f}',
        'entry_agent_ms': _ms(agent),
        'entry_task_ms': f'{task * 1000:.3f}',
        'entry_rest': f'{total:.2f}',
        'entry_start_ms': _ms(start),
        'entry_starts': f'{start * starts:.2f}',
        'round_s': f'{rounds.at(starts):.2f}',
        'round_180': f'{rounds.at(capacity.PEAK_STARTS_PER_S):.2f}',
        'entry_mb': f'{fit(data, "entry memory by agents").at(NODES):.0f}',
        'entry_messages': f'{sent_messages * scale:.0f}',
        'entry_kb': f'{sent * scale / 1000:.0f}',
        'entry_verdict': verdict,
        'rate_a_shard': f'{1 / fit(data, "took_s by starts").slope:.0f}',
        'dc_s': str(
            NODES_PER_DATA_CENTRE
            * _growing.TASKS_PER_HOST
            // capacity.PEAK_STARTS_PER_S
        ),
    }


def _store(data: Json, entries: int) -> dict[str, str]:
    def calls(kind: str) -> float:
        return fit(data, f'store calls {kind} by entries').at(entries)

    keep, ranges = calls('lease keep_alive'), calls('lease list')
    settings = calls('settings list')
    shard = COMMITS_PER_SHARD_PER_S * SHARDS
    size = fit(data, 'shard commit by tasks')
    kb = size.at(SHARD_TASKS) / 1000
    flat = [
        abs(value['slope'])
        for name, value in data['slopes'].items()
        if name.startswith('store calls') and name.endswith('by agents')
    ]
    return {
        'calls_keep_alive': f'{keep:.1f}',
        'calls_lease_list': f'{ranges:.1f}',
        'calls_settings_list': f'{settings:.1f}',
        'calls_shard': f'{shard:.0f}',
        'commits_a_start': f'{fit(data, "shard_writes by starts").slope:.2f}',
        'reads': f'{ranges + settings + CHANGE_CALLS_PER_S:.0f}',
        'writes': f'{keep + shard + CHANGE_CALLS_PER_S:.0f}',
        'calls_flat': f'at most {max(flat):.3f}',
        'shard_kb': f'{kb:.0f}',
        'shard_bytes': f'{size.slope:.1f}',
        'shard_ms': f'{fit(data, "shard encode by tasks").at(15_000):.2f}',
        'commit_mb': f'{kb * shard / 1000:.1f}',
    }


def _settings(data: Json, entries: int) -> dict[str, str]:
    commit = fit(data, 'settings commit by KB of settings')
    spread = fit(data, 'settings spread by KB of settings')
    read = SETTINGS_KB * CONFIRMS_PER_S * entries / 1000
    return {
        'settings_kb': f'{SETTINGS_KB:.0f}',
        'confirm_mb': f'{read:.1f}',
        'commit_fit': _format_fit(commit),
        'spread_fit': _format_fit(spread),
        'spread_ms': f'{spread.at(SETTINGS_KB):.0f}',
    }


def _format_fit(values: _fit.LinearFit) -> str:
    text = (
        f'{values.base:.0f} ms + {values.slope:.2f} ms for each KB, residual '
        f'{values.residual:.0f} ms'
    )
    if values.bends_at is not None:
        text += f', bends at {values.bends_at:.0f} KB'
    return text


def _settings_rows(data: Json) -> str:
    return '\n'.join(
        f'| {one["stored_bytes"] / 1000:.0f} KB | {one["commit_ms"]:.0f} ms '
        f'| {one["spread_ms"]:.0f} ms | {one["agent_bytes"]:.0f} bytes '
        f'| {one["entry_core"]:.3f} of a core '
        f'| {one["store_core"]:.3f} of a core |'
        for one in data['settings']
    )


def _path_rows(path: Json) -> str:
    return '\n'.join(
        f'| {one["load"]} | {one["system"]["p50_ms"]:.1f} / '
        f'{one["direct"]["p50_ms"]:.1f} ms ({one["added_p50_ms"]:+.1f} ms) | '
        f'{one["system"]["p99_ms"]:.1f} / {one["direct"]["p99_ms"]:.1f} ms '
        f'({one["p99_ratio"]:.2f} times) | {one["system"]["done_per_s"]:.0f} '
        f'/ {one["direct"]["done_per_s"]:.0f} |'
        for one in [*path['callers'], path['half_the_knee']]
    )


def _ms(seconds: float) -> str:
    return f'{seconds * 1000:.2f}'


def main() -> None:
    """Write the page."""
    data = json.loads(capacity.OUTPUT.read_text())
    path = json.loads(path_measure.OUTPUT.read_text())
    text = TEMPLATE.read_text().format_map(figures(data, path))
    PAGE.write_text(text)
    print(f'wrote {PAGE}')


if __name__ == '__main__':
    main()
