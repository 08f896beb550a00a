"""Coordination over the key-value store and between processes."""

from citronrail.coordination._capacity_ledger import Admission
from citronrail.coordination._capacity_ledger import CapacityLedger
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
from citronrail.coordination._peer_clock import CLOCK_RATE_MARGIN
from citronrail.coordination._peer_clock import ClockReading
from citronrail.coordination._peer_clock import lengthened
from citronrail.coordination._peer_clock import PeerClock
from citronrail.coordination._peer_clock import shortened
from citronrail.coordination._settings_document import SETTINGS_KEY
from citronrail.coordination._settings_follower import SettingsFollower
from citronrail.coordination._settings_writer import SettingsWriter

__all__ = [
    'CLOCK_RATE_MARGIN',
    'RANGE_COUNT',
    'SETTINGS_KEY',
    'Admission',
    'AgeRefusal',
    'CapacityLedger',
    'ClockReading',
    'IdempotencyKeeper',
    'KeeperLimits',
    'Moment',
    'PeerClock',
    'Reservation',
    'SettingsFollower',
    'SettingsWriter',
    'SteadyClock',
    'age_refusal',
    'born_at',
    'lengthened',
    'range_of',
    'shortened',
]
