"""What the argument of a task tells the worker stand-in to pretend."""

import dataclasses

import msgspec


@dataclasses.dataclass(frozen=True)
class TaskArgument:
    """How a pretended task behaves.

    ``run_s`` is its undisturbed run time in seconds. ``fail`` makes it fail
    at the end for that reason. ``size_factor`` is what it uses over what was
    declared. ``result`` is returned when it finishes.
    """

    run_s: float
    fail: str = ''
    result: str = 'ok'
    size_factor: float = 1.0


class _Given(msgspec.Struct, frozen=True):
    run_s: float | None = None
    fail: str = ''
    result: str = 'ok'
    size_factor: float = 1.0


def parse(text: str, declared_run_s: float) -> TaskArgument:
    """Read a task's argument.

    :param text: a JSON object with the fields of :class:`TaskArgument`; any
        other text is returned as the result.
    :param declared_run_s: run time if the argument names none.
    :returns: the behaviour.
    """
    try:
        given = msgspec.json.decode(text, type=_Given)
    except msgspec.DecodeError:
        given = _Given(result=text or 'ok')
    run_s = declared_run_s if given.run_s is None else given.run_s
    return TaskArgument(run_s, given.fail, given.result, given.size_factor)
