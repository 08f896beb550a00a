"""Validates policies with the subsystems that implement them."""

import collections.abc

from citronrail import errors
from citronrail.language import _nodes
from citronrail.language import _validation
from citronrail.model import settings as settings_model

MAX_PARAMETER_CHARACTERS = 200
Builder = collections.abc.Callable[[settings_model.PolicySettings], object]


class PolicyValidator:
    """Validates a policy by building it before it is stored in the settings.

    :param builders: for each kind, a function that builds the policy and
        raises ValueError or ConfigError for an invalid name or parameter.
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
        """Validate a policy.

        :param kind: kind of the policy.
        :param policy: its name and parameters.
        :raises citronrail.errors.CommandRefused: if it can't be
            built.
        """
        for name, value in policy.parameters.items():
            if (
                isinstance(value, str)
                and len(value) > MAX_PARAMETER_CHARACTERS
            ):
                raise _validation.refusal(f'parameter "{name}" is too long')
        builder = self._builders.get(kind)
        if builder is None:
            return
        try:
            builder(policy)
        except errors.ConfigError as exc:
            raise _validation.refusal(exc.message) from exc
        except (ValueError, TypeError) as exc:
            raise _validation.refusal(str(exc)) from exc
