"""Checks policies by the subsystems that carry them out."""

import collections.abc

from citronrail import errors
from citronrail.language import _facts
from citronrail.language import _nodes
from citronrail.model import settings as settings_model

MAX_TEXT_CHARACTERS = 200
Builder = collections.abc.Callable[[settings_model.PolicySettings], object]


class PolicyChecks:
    """Tries to build a policy before it is put into the settings.

    :param builders: for each kind, a function that builds the policy and
        raises ValueError or ConfigError for a wrong name or parameter.
    """

    def __init__(
        self, builders: collections.abc.Mapping[_nodes.PolicyKind, Builder]
    ) -> None:
        self._builders = dict(builders)

    def __call__(
        self,
        kind: _nodes.PolicyKind,
        policy: settings_model.PolicySettings,
    ) -> None:
        """Check a policy.

        :param kind: which policy it is.
        :param policy: its name and parameters.
        :raises citronrail.errors.CommandRefused: if it can't be built.
        """
        for name, value in policy.parameters.items():
            if isinstance(value, str) and len(value) > MAX_TEXT_CHARACTERS:
                raise _facts.refuse(f'parameter "{name}" is too long')
        builder = self._builders.get(kind)
        if builder is None:
            return
        try:
            builder(policy)
        except errors.ConfigError as exc:
            raise _facts.refuse(exc.message) from exc
        except (ValueError, TypeError) as exc:
            raise _facts.refuse(str(exc)) from exc
