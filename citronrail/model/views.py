"""An entry's view of agents, as input to scheduling decisions."""

import dataclasses

from citronrail.model import identifiers
from citronrail.model import messages
from citronrail.model import resources


@dataclasses.dataclass(frozen=True)
class AgentView:
    """Last known state of an agent; a hint, since the agent decides.

    ``heard_at`` is on the clock of the process that holds the view.
    """

    node_id: identifiers.NodeId
    boot_id: identifiers.BootId
    data_centre: identifiers.DataCentreName
    rack: str
    capacity: resources.Resources
    free: resources.Resources
    load: messages.AgentLoad
    backends: tuple[messages.BackendState, ...]
    heard_at: float
    leaving: bool = False
    ready: bool = True
