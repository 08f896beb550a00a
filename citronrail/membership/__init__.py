"""Who is there: heartbeats between entries and agents."""

from citronrail.membership._acknowledgement import may_acknowledge
from citronrail.membership._acknowledgement import OUTAGE_LIMIT_S
from citronrail.membership._agent_directory import AgentDirectory
from citronrail.membership._agent_directory import for_agents
from citronrail.membership._agent_directory import PERMIT_S
from citronrail.membership._entry_links import AgentStatus
from citronrail.membership._entry_links import EntryConnector
from citronrail.membership._entry_links import EntryLinks
from citronrail.membership._entry_mesh import EntryMesh
from citronrail.membership._entry_mesh import EntryView
from citronrail.membership._entry_mesh import fresh_at_least
from citronrail.membership._quiet_spans import AgentSilence
from citronrail.membership._quiet_spans import Outsiders

__all__ = [
    'AgentDirectory',
    'AgentSilence',
    'AgentStatus',
    'EntryConnector',
    'EntryLinks',
    'EntryMesh',
    'EntryView',
    'OUTAGE_LIMIT_S',
    'Outsiders',
    'PERMIT_S',
    'for_agents',
    'fresh_at_least',
    'may_acknowledge',
]
