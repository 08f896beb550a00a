"""The subcommand ``check-config``."""

import collections.abc
import pathlib

from citronrail.cli import _exit_codes
from citronrail.cli import _run
from citronrail import daemon
from citronrail import errors


def check_config(
    files: collections.abc.Iterable[str], streams: _run.Streams
) -> _exit_codes.ExitCode:
    """Check settings files of processes.

    :param files: their paths.
    :param streams: where to print.
    :returns: 0 if all are right, else 2.
    """
    code = _exit_codes.ExitCode.DONE
    for path in files:
        try:
            cfg = daemon.load(path)
        except errors.ConfigError as exc:
            streams.stderr.write(f'{exc.message}\n')
            code = _exit_codes.ExitCode.USAGE
            continue
        streams.stdout.write(
            f'{path}: right ({cfg.role} {cfg.node_id} in {cfg.data_centre})\n'
        )
        for missing in _missing_keys(cfg):
            streams.stderr.write(
                f'note: {path}: {missing} is not on this machine\n'
            )
    return code


def _missing_keys(
    cfg: daemon.ProcessSettings,
) -> collections.abc.Iterator[str]:
    if cfg.keys is None:
        return
    for path in (cfg.keys.own, cfg.keys.entries, cfg.keys.accepted):
        if path and not pathlib.Path(path).exists():
            yield path
