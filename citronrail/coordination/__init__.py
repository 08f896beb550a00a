"""Coordination over the key-value store and between processes."""

import typing

from citronrail import _lazy_exports
from citronrail.model.ranges import RANGE_COUNT
from citronrail.model.ranges import range_of

if typing.TYPE_CHECKING:
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

__getattr__ = _lazy_exports.resolver(
    __name__,
    {
        'BudgetedStore': '_budgeted_store',
        'Admission': '_capacity_ledger',
        'CapacityLedger': '_capacity_ledger',
        'Member': '_fenced_claim',
        'FencedLease': '_fenced_lease',
        'CommitScope': '_group_commit',
        'GroupCommitDocument': '_group_commit',
        'IdempotencyKeeper': '_idempotency_keeper',
        'age_refusal': '_key_age',
        'AgeRefusal': '_key_age',
        'born_at': '_key_age',
        'Moment': '_key_age',
        'SteadyClock': '_key_age',
        'KeeperLimits': '_key_records',
        'Reservation': '_key_records',
        'OwnedRange': '_owned_ranges',
        'OwnershipListener': '_owned_ranges',
        'EntryMember': '_ownership_view',
        'MembershipState': '_ownership_view',
        'CLOCK_RATE_MARGIN': '_peer_clock',
        'ClockReading': '_peer_clock',
        'lengthened': '_peer_clock',
        'PeerClock': '_peer_clock',
        'shortened': '_peer_clock',
        'OwnershipTiming': '_range_ownership',
        'RangeOwnership': '_range_ownership',
        'SETTINGS_KEY': '_settings_document',
        'SettingsFollower': '_settings_follower',
        'SettingsWriter': '_settings_writer',
        'StoreBudget': '_store_budget',
        'StoreUse': '_store_budget',
        'StoreLease': '_store_lease',
    },
)
