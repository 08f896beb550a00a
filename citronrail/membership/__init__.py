"""Membership by heartbeats between entries and agents."""

from citronrail.membership._acknowledgement import may_acknowledge
from citronrail.membership._acknowledgement import OUTAGE_LIMIT_S
from citronrail.membership._agent_directory import agent_settings
from citronrail.membership._agent_directory import AgentDirectory
from citronrail.membership._agent_directory import PERMIT_S
from citronrail.membership._entry_links import AgentStatus
from citronrail.membership._entry_links import EntryConnector
from citronrail.membership._entry_links import EntryLinks
from citronrail.membership._entry_mesh import EntryMesh
from citronrail.membership._entry_mesh import EntryView
from citronrail.membership._entry_mesh import freshness_lower_bound
from citronrail.membership._quiet_spans import AgentSilence
from citronrail.membership._quiet_spans import FormerMembers

__all__ = [
    'AgentDirectory',
    'AgentSilence',
    'AgentStatus',
    'EntryConnector',
    'EntryLinks',
    'EntryMesh',
    'EntryView',
    'OUTAGE_LIMIT_S',
    'FormerMembers',
    'PERMIT_S',
    'agent_settings',
    'freshness_lower_bound',
    'may_acknowledge',
]
