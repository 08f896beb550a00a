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

    :param files: paths of the files.
    :param streams: output streams.
    :returns: 0 if all are valid, else 2.
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
            f'{path}: valid ({cfg.role} {cfg.node_id} in {cfg.data_centre})\n'
        )
        for key_file in _missing_key_files(cfg):
            streams.stderr.write(
                f'note: {path}: {key_file} does not exist on this host\n'
            )
    return code


def _missing_key_files(
    cfg: daemon.ProcessSettings,
) -> collections.abc.Iterator[str]:
    if cfg.keys is None:
        return
    for path in (cfg.keys.own, cfg.keys.entries, cfg.keys.accepted):
        if path and not pathlib.Path(path).exists():
            yield path
