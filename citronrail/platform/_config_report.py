"""Reports the problems of an operators' configuration before it is stored.

Handles: a configuration that a process would reject, ignore, or accept
although it takes a queue out of service.
"""

import collections.abc
import dataclasses
import typing

from citronrail import errors
from citronrail.model import config_check
from citronrail.model import document_check
from citronrail.platform import _operator_documents

SEVERITY_ORDER = tuple(config_check.Severity)
MAX_EXACT_INTEGER = 2**53  # larger numbers of type float are not exact


@dataclasses.dataclass(frozen=True)
class FileFinding:
    """A problem at a field of a file, by its name in the file."""

    severity: config_check.Severity
    file: str
    field: str
    text: str


@dataclasses.dataclass(frozen=True)
class FileDifference:
    """A difference from the file in force.

    Names and values are those in the files. ``part`` is ``route``,
    ``service``, ``limits`` or '', and ``name`` that of the route or service.
    """

    change: config_check.Change
    part: config_check.Part
    name: str
    field: str
    old: config_check.Value | None
    new: config_check.Value | None


@dataclasses.dataclass(frozen=True)
class ConfigReport:
    """The result of the check of an operators' configuration."""

    version: int
    findings: tuple[FileFinding, ...]
    differences: tuple[FileDifference, ...] = ()
    in_force: int | None = None  # version in force, None if not given


@dataclasses.dataclass(frozen=True)
class _CheckedConfig:
    """The valid parts of a configuration and the problems of the others."""

    parts: _operator_documents.PartialConfig
    problems: tuple[document_check.FieldProblem, ...]

    @property
    def decodable(self) -> bool:
        """Whether all fields can be decoded."""
        return not any(problem.fatal for problem in self.problems)


def count_config_fields(document: typing.Any) -> int:
    """Return how many fields of a document are those of a configuration.

    :param document: a parsed JSON document.
    """
    if not isinstance(document, dict):
        return 0
    return len(_operator_documents.FIELD_NAMES & document.keys())


def check_operator_config(
    file: str, document: typing.Any, against: tuple[str, bytes] | None = None
) -> ConfigReport:
    """Check an operators' configuration.

    :param file: name of its file.
    :param document: the parsed JSON document.
    :param against: name and content of the file in force, if known.
    :returns: problems and differences; there are no differences if one of the
        two cannot be decoded.
    """
    checked = _check_fields(document)
    findings = list(_problem_findings(file, checked.problems))
    in_force = None
    if against is not None:
        in_force, problems = _decode_in_force(*against)
        findings += problems
    invalid_fields = {item.field for item in checked.problems if item.fatal}
    for finding in config_check.findings(
        checked.parts.config,
        in_force=in_force.parts.config if in_force else None,
        complete=checked.decodable,
    ):
        path = _path(checked.parts, finding.subject)
        if path not in invalid_fields:
            findings.append(
                FileFinding(
                    finding.severity,
                    file,
                    path,
                    _with_name(finding.subject, finding.text),
                )
            )
    # Stable, so that findings of one severity stay in the order of the file.
    findings.sort(key=lambda item: SEVERITY_ORDER.index(item.severity))
    if in_force is None:
        return ConfigReport(checked.parts.config.version, tuple(findings))
    differences = (
        config_check.differences(in_force.parts.config, checked.parts.config)
        if checked.decodable
        else ()
    )
    return ConfigReport(
        checked.parts.config.version,
        tuple(findings),
        tuple(_file_difference(item) for item in differences),
        in_force.parts.config.version,
    )


def _check_fields(document: typing.Any) -> _CheckedConfig:
    return _CheckedConfig(
        _operator_documents.decode_partially(document),
        document_check.problems(
            document, _operator_documents.CheckedDocument, strict=False
        ),
    )


def _decode_in_force(
    file: str, data: bytes
) -> tuple[_CheckedConfig | None, list[FileFinding]]:
    """Decode the file in force; its other problems are not of interest."""
    try:
        document = document_check.parse_json(data)
    except errors.ConfigError as exc:
        problem = document_check.FieldProblem('', exc.message)
        return None, list(_problem_findings(file, (problem,)))
    checked = _check_fields(document)
    if checked.decodable:
        return checked, []
    fatal = tuple(item for item in checked.problems if item.fatal)
    return None, list(_problem_findings(file, fatal))


def _problem_findings(
    file: str, problems: tuple[document_check.FieldProblem, ...]
) -> collections.abc.Iterator[FileFinding]:
    for problem in problems:
        severity = (
            config_check.Severity.ERROR
            if problem.fatal
            else config_check.Severity.WARNING
        )
        yield FileFinding(severity, file, problem.field, problem.text)


def _with_name(subject: config_check.Subject, text: str) -> str:
    if not subject.name:
        return text
    return f'{subject.part.value} "{subject.name}": {text}'


def _file_difference(item: config_check.Difference) -> FileDifference:
    return FileDifference(
        item.change,
        item.subject.part,
        item.subject.name,
        _wire_field(item.subject),
        _wire_value(item.subject, item.old),
        _wire_value(item.subject, item.new),
    )


def _path(
    parts: _operator_documents.PartialConfig, subject: config_check.Subject
) -> str:
    """Return the path in the document of the subject of a finding."""
    field = _wire_field(subject)
    match subject.part:
        case config_check.Part.QUEUE:
            name, indexes = _operator_documents.ROUTES, parts.queue_indexes
        case config_check.Part.POOL:
            name, indexes = _operator_documents.SERVICES, parts.pool_indexes
        case config_check.Part.LIMITS:
            return f'{_operator_documents.LIMITS}.{field}'
        case _:
            return field
    return f'{name}[{indexes[subject.index]}].{field}' if field else name


def _wire_field(subject: config_check.Subject) -> str:
    """Return the name on the wire of the field of a subject."""
    return _operator_documents.WIRE_NAMES.get(subject.field, subject.field)


def _wire_value(
    subject: config_check.Subject, value: config_check.Value | None
) -> config_check.Value | None:
    """Return the value on the wire of the field of a subject."""
    if not isinstance(value, float):
        return value
    if subject.field.endswith('_s'):
        # Rounding removes the error of the division when it was decoded.
        value = round(value * _operator_documents.WIRE_UNITS_PER_S, 6)
    if abs(value) < MAX_EXACT_INTEGER and value == int(value):
        return int(value)
    return value
