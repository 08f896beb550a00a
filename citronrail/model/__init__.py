"""Data types of the domain: identifiers, specifications, messages."""

from citronrail.model.identifiers import BootId
from citronrail.model.identifiers import CommandId
from citronrail.model.identifiers import DataCentreName
from citronrail.model.identifiers import FencingToken
from citronrail.model.identifiers import JobId
from citronrail.model.identifiers import new_boot_id
from citronrail.model.identifiers import NodeId
from citronrail.model.identifiers import RangeId
from citronrail.model.identifiers import RequestId
from citronrail.model.identifiers import ServiceName
from citronrail.model.identifiers import TeamName
from citronrail.model.identifiers import WorkClass
from citronrail.model.outcome import Outcome
from citronrail.model.resources import Resources
from citronrail.model.settings import AppliedCommand
from citronrail.model.settings import DataCentreSettings
from citronrail.model.settings import PolicySettings
from citronrail.model.settings import Settings
from citronrail.model.settings import TeamSettings
from citronrail.model.specs import AttemptId
from citronrail.model.specs import JobSpec
from citronrail.model.specs import Priority
from citronrail.model.specs import ServiceSpec
from citronrail.model.specs import TaskId
from citronrail.model.specs import TaskSpec
from citronrail.model.views import AgentView

__all__ = [
    'AgentView',
    'AppliedCommand',
    'AttemptId',
    'BootId',
    'CommandId',
    'DataCentreName',
    'DataCentreSettings',
    'FencingToken',
    'JobId',
    'JobSpec',
    'NodeId',
    'Outcome',
    'PolicySettings',
    'Priority',
    'RangeId',
    'RequestId',
    'Resources',
    'ServiceName',
    'ServiceSpec',
    'Settings',
    'TaskId',
    'TaskSpec',
    'TeamName',
    'TeamSettings',
    'WorkClass',
    'new_boot_id',
]
