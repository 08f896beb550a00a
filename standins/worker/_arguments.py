"""Parses task arguments, which set the simulated behaviour of a task."""

import dataclasses

import msgspec


@dataclasses.dataclass(frozen=True)
class TaskArgument:
    """Behaviour of a simulated task.

    ``run_s`` is its run time in seconds without interference. If ``fail`` is
    set, it fails at the end with that reason. ``size_factor`` is the ratio of
    used to declared resources. ``result`` is returned when it finishes.
    """

    run_s: float
    fail: str = ''
    result: str = 'ok'
    size_factor: float = 1.0


class _ArgumentFields(msgspec.Struct, frozen=True):
    run_s: float | None = None
    fail: str = ''
    result: str = 'ok'
    size_factor: float = 1.0


def parse(text: str, declared_run_s: float) -> TaskArgument:
    """Parse a task's argument.

    :param text: a JSON object with the fields of :class:`TaskArgument`; any
        other text is returned as the result.
    :param declared_run_s: run time if the argument has none.
    :returns: the behaviour.
    """
    try:
        fields = msgspec.json.decode(text, type=_ArgumentFields)
    except msgspec.DecodeError:
        fields = _ArgumentFields(result=text or 'ok')
    run_s = declared_run_s if fields.run_s is None else fields.run_s
    return TaskArgument(run_s, fields.fail, fields.result, fields.size_factor)
