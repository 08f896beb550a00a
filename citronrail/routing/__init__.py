"""Request routing: load balancing, admission, retries, keys, streaming."""

from citronrail.routing._balancing import parse_balancing_policy
from citronrail.routing._key_reservations import ReservationResult
from citronrail.routing._keys import KeyService
from citronrail.routing._keys import KeyStore
from citronrail.routing._owned_keys import OwnedKeyStore
from citronrail.routing._requests import CallerRequest
from citronrail.routing._requests import OpenRequest
from citronrail.routing._requests import Problem
from citronrail.routing._requests import ResponseWriter
from citronrail.routing._router import RequestRouter
from citronrail.routing._runner import RequestRunner
from citronrail.routing._slots import RunnerLimits

__all__ = [
    'CallerRequest',
    'KeyStore',
    'ReservationResult',
    'KeyService',
    'OpenRequest',
    'OwnedKeyStore',
    'Problem',
    'RequestRouter',
    'RequestRunner',
    'ResponseWriter',
    'RunnerLimits',
    'parse_balancing_policy',
]
