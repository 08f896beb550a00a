"""Settings of the parts that handle hard load; all are off by default."""

import pathlib
import typing

import msgspec

from citronrail import errors

_Rate = typing.Annotated[float, msgspec.Meta(ge=0, le=1e9)]


class LoadSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Which parts for hard load a deployment asks for.

    :param relay: entries that don't reach the store pass requests to a peer
        that does.
    :param fast_takeover: a leader resumes after an outage of the store, and a
        restarted entry ends the lease of its dead predecessor.
    :param cost_order: waiting jobs are ordered by cost of delay.
    :param observed_run_times: objectives of jobs come from the observed run
        times of their steps, as far as there are any, instead of the declared
        ones.
    :param detect_long_tasks: a slow run is not moved if its task is long
        rather than its worker slow.
    :param admission: jobs that can't end while useful are rejected.
    :param preemption: waiting work of higher priority preempts best-effort
        tasks.
    :param fit_best_effort: best-effort tasks that a worker can't bear beside
        its serving tasks are stopped instead of paced.
    :param min_store_writes_per_s: all parts are off where the store allows
        fewer writes a second.
    """

    relay: bool = False
    fast_takeover: bool = False
    cost_order: bool = False
    observed_run_times: bool = False
    detect_long_tasks: bool = False
    admission: bool = False
    preemption: bool = False
    fit_best_effort: bool = False
    min_store_writes_per_s: _Rate = 0.0

    def for_store(self, writes_per_s: float) -> 'LoadSettings':
        """Return the settings that apply to a deployment.

        :param writes_per_s: writes a second that its store allows.
        """
        if writes_per_s < self.min_store_writes_per_s:
            return OFF
        return self


OFF = LoadSettings()


def load(path: str) -> LoadSettings:
    """Read the settings.

    :param path: a JSON file; '' for none, so that all parts are off.
    :raises citronrail.errors.ConfigError: if the file can't be read or is
        invalid; the message names the field.
    """
    if not path:
        return OFF
    try:
        data = pathlib.Path(path).read_bytes()
        return msgspec.json.decode(data, type=LoadSettings)
    except (OSError, msgspec.DecodeError, RecursionError) as exc:
        raise errors.ConfigError(
            f'{path}: {exc}', step='load_settings.load'
        ) from exc
