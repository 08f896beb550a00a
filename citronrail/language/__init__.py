"""The operators' query and command language."""

from citronrail.language._changes import apply_change
from citronrail.language._entry_overview import EntryOverview
from citronrail.language._fleet_tracker import FleetTracker
from citronrail.language._format import format  # noqa: A004
from citronrail.language._format import format_condition
from citronrail.language._format import without_version
from citronrail.language._local_rows import Views
from citronrail.language._nodes import And
from citronrail.language._nodes import Cancel
from citronrail.language._nodes import Change
from citronrail.language._nodes import ChangePolicy
from citronrail.language._nodes import ChangeService
from citronrail.language._nodes import ChangeTeam
from citronrail.language._nodes import Command
from citronrail.language._nodes import Comparison
from citronrail.language._nodes import Condition
from citronrail.language._nodes import Drain
from citronrail.language._nodes import Duration
from citronrail.language._nodes import JobCommand
from citronrail.language._nodes import Membership
from citronrail.language._nodes import Memory
from citronrail.language._nodes import Not
from citronrail.language._nodes import Operator
from citronrail.language._nodes import Or
from citronrail.language._nodes import OrderKey
from citronrail.language._nodes import Place
from citronrail.language._nodes import PolicyKind
from citronrail.language._nodes import Return
from citronrail.language._nodes import SettingsCommand
from citronrail.language._nodes import Show
from citronrail.language._nodes import StartJob
from citronrail.language._nodes import StartService
from citronrail.language._nodes import StopJob
from citronrail.language._nodes import StopService
from citronrail.language._nodes import TableName
from citronrail.language._nodes import Time
from citronrail.language._parser import keywords
from citronrail.language._parser import parse
from citronrail.language._parser import parse_script
from citronrail.language._policy_checks import PolicyValidator
from citronrail.language._ports import CancelOutcome
from citronrail.language._ports import JobShards
from citronrail.language._ports import RangeDirectory
from citronrail.language._ports import RowPredicate
from citronrail.language._ports import SettingsWriter
from citronrail.language._query import evaluate
from citronrail.language._query import Result
from citronrail.language._scheduler_shards import SchedulerShards
from citronrail.language._service import CommandService
from citronrail.language._tables import columns
from citronrail.language._tables import EntryRow
from citronrail.language._tables import RequestRow
from citronrail.language._validation import KnownWorker
from citronrail.language._validation import ValidationContext

__all__ = [
    'And',
    'Cancel',
    'CancelOutcome',
    'Change',
    'ChangePolicy',
    'ChangeService',
    'ChangeTeam',
    'Command',
    'CommandService',
    'Comparison',
    'Condition',
    'Drain',
    'Duration',
    'EntryRow',
    'EntryOverview',
    'FleetTracker',
    'JobCommand',
    'JobShards',
    'KnownWorker',
    'Membership',
    'Memory',
    'Not',
    'Operator',
    'Or',
    'OrderKey',
    'Place',
    'PolicyValidator',
    'PolicyKind',
    'RangeDirectory',
    'RequestRow',
    'Result',
    'Return',
    'RowPredicate',
    'SchedulerShards',
    'SettingsCommand',
    'SettingsWriter',
    'Show',
    'StartJob',
    'StartService',
    'StopJob',
    'StopService',
    'TableName',
    'Time',
    'ValidationContext',
    'Views',
    'apply_change',
    'columns',
    'evaluate',
    'format',
    'format_condition',
    'keywords',
    'parse',
    'parse_script',
    'without_version',
]
