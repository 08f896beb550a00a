"""Coordination over the key-value store and between processes."""

from citronrail.coordination._budgeted_store import BudgetedStore
from citronrail.coordination._capacity_ledger import Admission
from citronrail.coordination._capacity_ledger import CapacityLedger
from citronrail.coordination._fenced_claim import Member
from citronrail.coordination._fenced_lease import FencedLease
from citronrail.coordination._group_commit import CommitScope
from citronrail.coordination._group_commit import GroupCommitDocument
from citronrail.coordination._idempotency_keeper import IdempotencyKeeper
from citronrail.coordination._key_age import age_refusal
from citronrail.coordination._key_age import AgeRefusal
from citronrail.coordination._key_age import born_at
from citronrail.coordination._key_age import Moment
from citronrail.coordination._key_age import RANGE_COUNT
from citronrail.coordination._key_age import range_of
from citronrail.coordination._key_age import SteadyClock
from citronrail.coordination._key_records import KeeperLimits
from citronrail.coordination._key_records import Reservation
from citronrail.coordination._owned_ranges import OwnedRange
from citronrail.coordination._owned_ranges import OwnershipListener
from citronrail.coordination._ownership_view import EntryMember
from citronrail.coordination._ownership_view import MembershipState
from citronrail.coordination._peer_clock import CLOCK_RATE_MARGIN
from citronrail.coordination._peer_clock import ClockReading
from citronrail.coordination._peer_clock import lengthened
from citronrail.coordination._peer_clock import PeerClock
from citronrail.coordination._peer_clock import shortened
from citronrail.coordination._range_ownership import OwnershipTiming
from citronrail.coordination._range_ownership import RangeOwnership
from citronrail.coordination._settings_document import SETTINGS_KEY
from citronrail.coordination._settings_follower import SettingsFollower
from citronrail.coordination._settings_writer import SettingsWriter
from citronrail.coordination._store_budget import StoreBudget
from citronrail.coordination._store_budget import StoreUse
from citronrail.coordination._store_lease import StoreLease

__all__ = [
    'CLOCK_RATE_MARGIN',
    'RANGE_COUNT',
    'SETTINGS_KEY',
    'Admission',
    'AgeRefusal',
    'BudgetedStore',
    'CapacityLedger',
    'ClockReading',
    'CommitScope',
    'EntryMember',
    'FencedLease',
    'GroupCommitDocument',
    'IdempotencyKeeper',
    'KeeperLimits',
    'Member',
    'MembershipState',
    'Moment',
    'OwnedRange',
    'OwnershipListener',
    'OwnershipTiming',
    'PeerClock',
    'RangeOwnership',
    'Reservation',
    'SettingsFollower',
    'SettingsWriter',
    'SteadyClock',
    'StoreBudget',
    'StoreLease',
    'StoreUse',
    'age_refusal',
    'born_at',
    'lengthened',
    'range_of',
    'shortened',
]
