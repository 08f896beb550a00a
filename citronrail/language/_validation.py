"""Context against which an entry validates commands."""

import collections.abc
import dataclasses
import difflib

from citronrail import errors
from citronrail.language import _nodes
from citronrail.model import resources
from citronrail.model import settings as settings_model

PolicyCheck = collections.abc.Callable[
    [_nodes.PolicyKind, settings_model.PolicySettings], None
]
STEP = 'language.check'


def accept_policy(
    kind: _nodes.PolicyKind, policy: settings_model.PolicySettings
) -> None:
    """Accept any policy.

    :param kind: kind of the policy.
    :param policy: its name and parameters.
    """
    del kind, policy


@dataclasses.dataclass(frozen=True)
class KnownWorker:
    """A worker that this entry has seen since it started."""

    name: str
    data_centre: str
    capacity: resources.Resources


@dataclasses.dataclass(frozen=True)
class ValidationContext:
    """Names and sizes against which commands are validated.

    ``workers`` contains the workers seen since the entry started, whether or
    not they currently respond. ``check_policy`` raises
    :class:`citronrail.errors.CommandRefused` for unknown policies and
    parameters. ``now_unix_s`` is when the command was received.
    """

    workers: tuple[KnownWorker, ...] = ()
    data_centres: tuple[str, ...] = ()
    check_policy: PolicyCheck = accept_policy
    now_unix_s: float = 0.0

    def known_data_centres(
        self, settings: settings_model.Settings
    ) -> frozenset[str]:
        """Return every data centre that was seen or configured.

        :param settings: the current settings.
        :returns: their names.
        """
        return frozenset(
            {worker.data_centre for worker in self.workers}
            | set(self.data_centres)
            | set(settings.data_centres)
        )


ContextSource = collections.abc.Callable[[], ValidationContext]


def refusal(message: str) -> errors.CommandRefused:
    """Create the error for a command that failed validation.

    :param message: the problem and what the operator can do about it.
    :returns: the error, to be raised.
    """
    return errors.CommandRefused(message, step=STEP)


def suggest_names(name: str, known: collections.abc.Iterable[str]) -> str:
    """Suggest known names in place of an unknown one.

    :param name: the unknown name.
    :param known: the names that exist.
    :returns: text such as ``; did you mean "leon"?``, or the known names if
        there are only a few, or ''.
    """
    names = sorted(known)
    close = difflib.get_close_matches(name[:100], names, n=1)
    if close:
        return f'; did you mean "{close[0]}"?'
    if names and len(names) <= 12:
        return f'; there are {", ".join(names)}'
    return ''
