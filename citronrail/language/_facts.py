"""What an entry knows of the fleet when it checks a command."""

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

    :param kind: which policy it is.
    :param policy: its name and parameters.
    """
    del kind, policy


@dataclasses.dataclass(frozen=True)
class SeenWorker:
    """A worker that this entry has heard of since it started."""

    name: str
    data_centre: str
    capacity: resources.Resources


@dataclasses.dataclass(frozen=True)
class Facts:
    """Names and sizes against which commands are checked.

    ``workers`` holds every worker heard of since the entry started, whether
    or not it answers at present. ``check_policy`` raises
    :class:`citronrail.errors.CommandRefused` for unknown policies and
    parameters. ``now_unix_s`` is when the command was received.
    """

    workers: tuple[SeenWorker, ...] = ()
    data_centres: tuple[str, ...] = ()
    check_policy: PolicyCheck = accept_policy
    now_unix_s: float = 0.0

    def known_data_centres(
        self, settings: settings_model.Settings
    ) -> frozenset[str]:
        """Return every data centre that was seen, configured or named.

        :param settings: the present settings.
        :returns: their names.
        """
        return frozenset(
            {worker.data_centre for worker in self.workers}
            | set(self.data_centres)
            | set(settings.data_centres)
        )


FactsSource = collections.abc.Callable[[], Facts]


def refuse(message: str) -> errors.CommandRefused:
    """Make the error of a command that failed a check.

    :param message: what is wrong and what the operator can do.
    :returns: the error, to be raised.
    """
    return errors.CommandRefused(message, step=STEP)


def near_miss(name: str, known: collections.abc.Iterable[str]) -> str:
    """Suggest a known name that is close to a wrong one.

    :param name: the name that was given.
    :param known: the names that exist.
    :returns: such as ``; did you mean "leon"?``, or the known names if they
        are few, or ''.
    """
    names = sorted(known)
    close = difflib.get_close_matches(name[:100], names, n=1)
    if close:
        return f'; did you mean "{close[0]}"?'
    if names and len(names) <= 12:
        return f'; there are {", ".join(names)}'
    return ''
