"""Messages between the processes of citronrail.

Every message is a frozen data class registered under its class name. Fields
named ``*_before``, ``*_until`` or ``deadline`` hold a monotonic time in
seconds on the receiver's clock, unless the comment says otherwise.
"""

from citronrail.model.messages._commands import CommandReply
from citronrail.model.messages._commands import ForwardCommand
from citronrail.model.messages._commands import TimelineQuery
from citronrail.model.messages._commands import TimelineReply
from citronrail.model.messages._keys import CompleteKey
from citronrail.model.messages._keys import KeyHandover
from citronrail.model.messages._keys import KeyHandoverAck
from citronrail.model.messages._keys import KeyRecord
from citronrail.model.messages._keys import ReserveKey
from citronrail.model.messages._keys import ReserveReply
from citronrail.model.messages._membership import AgentLoad
from citronrail.model.messages._membership import Alive
from citronrail.model.messages._membership import BackendState
from citronrail.model.messages._membership import BackendUpdate
from citronrail.model.messages._membership import EntryAddress
from citronrail.model.messages._membership import EntryHeartbeat
from citronrail.model.messages._membership import Heartbeat
from citronrail.model.messages._membership import HeartbeatAck
from citronrail.model.messages._membership import Hello
from citronrail.model.messages._membership import RangeClaim
from citronrail.model.messages._membership import SettingsUpdate
from citronrail.model.messages._membership import SilentAgent
from citronrail.model.messages._ownership import ExtendOwnership
from citronrail.model.messages._ownership import ExtendOwnershipReply
from citronrail.model.messages._ownership import TakeoverQuery
from citronrail.model.messages._ownership import TakeoverReply
from citronrail.model.messages._registry import Cell
from citronrail.model.messages._registry import Headers
from citronrail.model.messages._registry import kinds
from citronrail.model.messages._registry import ProtocolError
from citronrail.model.messages._registry import UnknownMessage
from citronrail.model.messages._requests import CancelReply
from citronrail.model.messages._requests import CancelRequest
from citronrail.model.messages._requests import Credit
from citronrail.model.messages._requests import RequestFailed
from citronrail.model.messages._requests import RequestRefused
from citronrail.model.messages._requests import ResponseChunk
from citronrail.model.messages._requests import ResponseEnd
from citronrail.model.messages._requests import ResponseStart
from citronrail.model.messages._requests import ResponseWhole
from citronrail.model.messages._requests import RunRequest
from citronrail.model.messages._tasks import RunningTask
from citronrail.model.messages._tasks import StartReply
from citronrail.model.messages._tasks import StartTask
from citronrail.model.messages._tasks import StopTask
from citronrail.model.messages._tasks import TaskQuery
from citronrail.model.messages._tasks import TaskQueryReply
from citronrail.model.messages._tasks import TaskReport
from citronrail.model.messages._tasks import TaskReportAck
from citronrail.model.messages._tasks import TaskUsage
from citronrail.model.messages._tasks import TeamReservation
from citronrail.model.messages._tasks import ThrottleTask
from citronrail.model.messages._tasks import UsageReport
from citronrail.model.messages._wire import pack
from citronrail.model.messages._wire import unpack
from citronrail.model.messages._workflows import BacklogAhead
from citronrail.model.messages._workflows import BacklogSummary
from citronrail.model.messages._workflows import EndRow
from citronrail.model.messages._workflows import EntryDirectory
from citronrail.model.messages._workflows import JobAccepted
from citronrail.model.messages._workflows import JobCancelled
from citronrail.model.messages._workflows import JobStateQuery
from citronrail.model.messages._workflows import JobStateReply
from citronrail.model.messages._workflows import PaceOrder
from citronrail.model.messages._workflows import RefusedStart
from citronrail.model.messages._workflows import RelayReply
from citronrail.model.messages._workflows import RelayRequest
from citronrail.model.messages._workflows import RunRow
from citronrail.model.messages._workflows import ServiceBacklog
from citronrail.model.messages._workflows import StartOrder
from citronrail.model.messages._workflows import StateLimit
from citronrail.model.messages._workflows import StateSize
from citronrail.model.messages._workflows import StoreStatus
from citronrail.model.messages._workflows import TaskRun
from citronrail.model.messages._workflows import WorkerLife
from citronrail.model.messages._workflows import WorkerOrders
from citronrail.model.messages._workflows import WorkerReport

__all__ = [
    'AgentLoad',
    'Alive',
    'BackendState',
    'BackendUpdate',
    'BacklogAhead',
    'BacklogSummary',
    'CancelReply',
    'CancelRequest',
    'Cell',
    'CommandReply',
    'CompleteKey',
    'Credit',
    'EndRow',
    'EntryAddress',
    'EntryDirectory',
    'EntryHeartbeat',
    'ExtendOwnership',
    'ExtendOwnershipReply',
    'ForwardCommand',
    'Headers',
    'Heartbeat',
    'HeartbeatAck',
    'Hello',
    'JobAccepted',
    'JobCancelled',
    'JobStateQuery',
    'JobStateReply',
    'KeyHandover',
    'KeyHandoverAck',
    'KeyRecord',
    'PaceOrder',
    'ProtocolError',
    'RangeClaim',
    'RefusedStart',
    'RelayReply',
    'RelayRequest',
    'RequestFailed',
    'RequestRefused',
    'ReserveKey',
    'ReserveReply',
    'ResponseChunk',
    'ResponseEnd',
    'ResponseStart',
    'ResponseWhole',
    'RunRequest',
    'RunRow',
    'RunningTask',
    'ServiceBacklog',
    'SettingsUpdate',
    'SilentAgent',
    'StartOrder',
    'StartReply',
    'StartTask',
    'StateLimit',
    'StateSize',
    'StopTask',
    'StoreStatus',
    'TakeoverQuery',
    'TakeoverReply',
    'TaskQuery',
    'TaskQueryReply',
    'TaskReport',
    'TaskReportAck',
    'TaskRun',
    'TaskUsage',
    'TeamReservation',
    'ThrottleTask',
    'TimelineQuery',
    'TimelineReply',
    'UnknownMessage',
    'UsageReport',
    'WorkerLife',
    'WorkerOrders',
    'WorkerReport',
    'kinds',
    'pack',
    'unpack',
]
