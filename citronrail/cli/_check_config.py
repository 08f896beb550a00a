"""The subcommand ``check-config``.

Checks the settings of processes, the settings for hard load, and the
configuration that operators write to the store.
"""

import collections
import collections.abc
import dataclasses
import enum
import pathlib
import typing

import msgspec

from citronrail.cli import _exit_codes
from citronrail.cli import _output
from citronrail.cli import _run
from citronrail import daemon
from citronrail import errors
from citronrail.model import config_check
from citronrail.model import document_check
from citronrail.model import load_settings
from citronrail import platform

# Larger files are not read completely; neither settings nor a value in the
# store are as large as this.
MAX_FILE_BYTES = 1024 * 1024
_FINDING_COLUMNS = ('severity', 'file', 'field', 'finding')
_DIFFERENCE_COLUMNS = ('change', 'item', 'field', 'old', 'new')
_Severity = config_check.Severity


class Kind(enum.Enum):
    """What a file contains."""

    PROCESS = 'process settings'
    LOAD = 'load settings'
    OPERATORS = 'operators\' configuration'


@dataclasses.dataclass(frozen=True)
class FileReport:
    """The result of the check of one file.

    ``summary`` describes the content of a valid file of settings. ``version``
    and ``in_force`` are the versions of the file and of the one in force.
    """

    file: str
    kind: Kind
    findings: tuple[platform.FileFinding, ...] = ()
    summary: str = ''
    version: int | None = None
    in_force: int | None = None
    differences: tuple[platform.FileDifference, ...] = ()

    def count(self, severity: config_check.Severity) -> int:
        """Return the number of findings of a severity."""
        return sum(item.severity is severity for item in self.findings)


def check_config(
    files: collections.abc.Iterable[str],
    streams: _run.Streams,
    *,
    against: str | None = None,
    output_format: str = 'table',
) -> _exit_codes.CheckExitCode:
    """Check files of settings and configurations.

    :param files: paths of the files.
    :param streams: output streams.
    :param against: path of the operators' configuration in force.
    :param output_format: ``table``, or ``json`` for an object on a line for
        each file.
    :returns: 0 if there is nothing to correct, 2 if there are errors, 3 if
        there are only warnings.
    """
    reports = [check_file(path, against) for path in files]
    for report in reports:
        if output_format == 'json':
            streams.stdout.write(_format_json(report))
        elif report.kind is Kind.OPERATORS:
            streams.stdout.write(_format_tables(report))
        else:
            _print_settings(report, streams)
    if any(report.count(_Severity.ERROR) for report in reports):
        return _exit_codes.CheckExitCode.ERRORS
    if any(report.count(_Severity.WARNING) for report in reports):
        return _exit_codes.CheckExitCode.WARNINGS
    return _exit_codes.CheckExitCode.CLEAN


def check_file(path: str, against: str | None = None) -> FileReport:
    """Check one file.

    :param path: path of the file.
    :param against: path of the operators' configuration in force.
    :returns: the findings; the function doesn't raise on any content.
    """
    try:
        data = _read(path)
    except errors.ConfigError as exc:
        kind = Kind.PROCESS if against is None else Kind.OPERATORS
        return FileReport(path, kind, (_error(path, '', exc.message),))
    try:
        document = document_check.parse_json(data)
    except errors.ConfigError as exc:
        if against is None:
            return _check_process_settings(path, data)
        finding = _error(path, '', exc.message)
        return FileReport(path, Kind.OPERATORS, (finding,))
    match kind_of(document):
        case Kind.OPERATORS:
            return _check_operators(path, document, against)
        case Kind.LOAD:
            report = _check_load_settings(path, document)
        case _:
            report = _check_process_settings(path, data)
    if against is not None:
        finding = _error(
            path, '', 'is not an operators\' configuration: omit --against'
        )
        findings = (*report.findings, finding)
        return dataclasses.replace(report, findings=findings)
    return report


def kind_of(document: typing.Any) -> Kind:
    """Return what a file contains, by the names of its fields.

    :param document: the parsed JSON document.
    :returns: the kind that has the most of these names; process settings if
        there are none.
    """
    if not isinstance(document, dict):
        return Kind.PROCESS
    process_fields = set(daemon.ProcessSettings.__struct_fields__)
    load_fields = set(load_settings.LoadSettings.__struct_fields__)
    matches = {
        Kind.PROCESS: len(process_fields & document.keys()),
        Kind.LOAD: len(load_fields & document.keys()),
        Kind.OPERATORS: platform.count_config_fields(document),
    }
    return max(matches, key=lambda kind: matches[kind])


def _read(path: str) -> bytes:
    try:
        with open(path, 'rb') as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except (OSError, ValueError) as exc:
        reason = getattr(exc, 'strerror', None) or exc
        raise errors.ConfigError(
            f'cannot be read: {reason}', step='check_config.read'
        ) from exc
    if len(data) > MAX_FILE_BYTES:
        raise errors.ConfigError(
            f'is larger than {MAX_FILE_BYTES} bytes', step='check_config.read'
        )
    return data


def _check_process_settings(path: str, data: bytes) -> FileReport:
    try:
        cfg = daemon.decode(data, '')
    except errors.ConfigError as exc:
        finding = _error(path, '', exc.message.removeprefix(': '))
        return FileReport(path, Kind.PROCESS, (finding,))
    notes = tuple(
        platform.FileFinding(
            _Severity.NOTE,
            path,
            f'keys.{field}',
            f'{key_file} does not exist on this host',
        )
        for field, key_file in _missing_key_files(cfg)
    )
    summary = f'{cfg.role} {cfg.node_id} in {cfg.data_centre}'
    return FileReport(path, Kind.PROCESS, notes, summary)


def _missing_key_files(
    cfg: daemon.ProcessSettings,
) -> collections.abc.Iterator[tuple[str, str]]:
    if cfg.keys is None:
        return
    for field in cfg.keys.__struct_fields__:
        path = getattr(cfg.keys, field)
        if path and not _exists(path):
            yield field, path


def _exists(path: str) -> bool:
    try:
        return pathlib.Path(path).exists()
    except OSError:
        # The path is too long, or its directory may not be searched.
        return False


def _check_load_settings(path: str, document: typing.Any) -> FileReport:
    problems = document_check.problems(
        document, load_settings.LoadSettings, strict=True
    )
    if problems:
        findings = tuple(
            _error(path, problem.field, problem.text) for problem in problems
        )
        return FileReport(path, Kind.LOAD, findings)
    cfg = msgspec.convert(document, load_settings.LoadSettings)
    enabled = [
        name for name in cfg.__struct_fields__ if getattr(cfg, name) is True
    ]
    findings = ()
    if enabled and not cfg.min_store_writes_per_s:
        findings = (
            platform.FileFinding(
                _Severity.WARNING,
                path,
                'min_store_writes_per_s',
                'is 0: the parts are on in small deployments, too',
            ),
        )
    summary = f'load settings: {", ".join(enabled) or "all parts off"}'
    return FileReport(path, Kind.LOAD, findings, summary)


def _check_operators(
    path: str, document: typing.Any, against: str | None
) -> FileReport:
    unreadable: tuple[platform.FileFinding, ...] = ()
    in_force = None
    if against is not None:
        try:
            in_force = (against, _read(against))
        except errors.ConfigError as exc:
            unreadable = (_error(against, '', exc.message),)
    report = platform.check_operator_config(path, document, in_force)
    return FileReport(
        path,
        Kind.OPERATORS,
        (*unreadable, *report.findings),
        '',
        report.version,
        report.in_force,
        report.differences,
    )


def _error(file: str, field: str, text: str) -> platform.FileFinding:
    return platform.FileFinding(_Severity.ERROR, file, field, text)


def _print_settings(report: FileReport, streams: _run.Streams) -> None:
    """Print the result for a file of settings.

    A valid file is named on the standard output, findings on the other one.
    """
    if report.summary:
        text = f'{report.file}: valid ({report.summary})'
        streams.stdout.write(f'{_output.printable(text)}\n')
    for item in report.findings:
        field = f'{item.field}: ' if item.field else ''
        label = (
            ''
            if item.severity is _Severity.ERROR
            else f'{item.severity.value}: '
        )
        text = f'{label}{item.file}: {field}{item.text}'
        streams.stderr.write(f'{_output.printable(text)}\n')


def _format_tables(report: FileReport) -> str:
    tables = []
    if report.findings:
        rows = (
            (
                item.severity.value,
                _on_one_line(item.file),
                _on_one_line(item.field),
                _on_one_line(item.text),
            )
            for item in report.findings
        )
        tables.append(_output.format_table(_FINDING_COLUMNS, rows))
    if report.differences:
        rows_of_differences = (
            (
                item.change.value,
                _on_one_line(f'{item.part.value} {item.name}'.strip()),
                item.field,
                _format_value(item.old),
                _format_value(item.new),
            )
            for item in report.differences
        )
        tables.append(
            _output.format_table(_DIFFERENCE_COLUMNS, rows_of_differences)
        )
    tables.append(f'{_output.printable(_summary(report))}\n')
    return '\n'.join(tables)


def _format_value(value: config_check.Value | None) -> str | bool | None:
    if value is None or isinstance(value, bool):
        return value
    # As text, so that the table doesn't round numbers.
    return _on_one_line(str(value))


def _on_one_line(text: str) -> str:
    """Replace newlines, which could imitate further rows of a table."""
    return text.replace('\n', '\N{REPLACEMENT CHARACTER}')


def _summary(report: FileReport) -> str:
    counts = [
        _count(report.count(_Severity.ERROR), 'error'),
        _count(report.count(_Severity.WARNING), 'warning'),
    ]
    if report.in_force is not None:
        number = _count(len(report.differences), 'difference')
        counts.append(f'{number} from version {report.in_force}')
    return f'{report.file}: {", ".join(counts)}'


def _count(number: int, noun: str) -> str:
    return f'{number} {noun}' if number == 1 else f'{number} {noun}s'


def _format_json(report: FileReport) -> str:
    """Format a report as one line; paths may contain invalid UTF-8."""
    document = {
        'file': _output.printable(report.file),
        'kind': report.kind,
        'version': report.version,
        'in_force': report.in_force,
        'findings': [
            {
                'severity': item.severity,
                'file': _output.printable(item.file),
                'field': item.field,
                'text': item.text,
            }
            for item in report.findings
        ],
        'differences': report.differences,
    }
    return msgspec.json.encode(document).decode() + '\n'
