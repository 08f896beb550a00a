"""The operators' configuration document, kept in the key-value store."""

import dataclasses
import typing

from citronrail.model import identifiers
from citronrail.model import resources
from citronrail.model import specs


@dataclasses.dataclass(frozen=True)
class DataCentreSettings:
    """Whether work may start in a data centre.

    ``changed_in`` is the settings version of the last change and
    ``changed_at`` its Unix time in seconds by the clock of the entry that
    received the command; 0.0 if it is not known.
    """

    in_service: bool = True
    changed_in: int = 0
    changed_at: float = 0.0


@dataclasses.dataclass(frozen=True)
class TeamSettings:
    """Guaranteed quota of a team; other teams may borrow the idle part."""

    quota: resources.Resources
    may_borrow: bool = True


@dataclasses.dataclass(frozen=True)
class PolicySettings:
    """Name of a policy and its parameters, as checked by the policy."""

    name: str
    parameters: dict[str, typing.Any] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class AppliedCommand:
    """A command that took effect, stored to detect retries."""

    command_id: identifiers.CommandId
    version: int
    message: str


@dataclasses.dataclass(frozen=True)
class Settings:
    """The whole configuration; each write increments ``version``."""

    version: int = 0
    data_centres: dict[str, DataCentreSettings] = dataclasses.field(
        default_factory=dict
    )
    teams: dict[str, TeamSettings] = dataclasses.field(default_factory=dict)
    services: dict[str, specs.ServiceSpec] = dataclasses.field(
        default_factory=dict
    )
    drained_workers: tuple[identifiers.NodeId, ...] = ()
    placement: PolicySettings = PolicySettings('learned')
    balancing: PolicySettings = PolicySettings('two_choices')
    recent_commands: tuple[AppliedCommand, ...] = ()

    def data_centre_in_service(self, name: str) -> bool:
        """Return whether work may start in a data centre.

        :param name: name of the data centre; one that no operator has
            configured is in service.
        :returns: False only after operators have taken it out.
        """
        state = self.data_centres.get(name)
        return state is None or state.in_service
