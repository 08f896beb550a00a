"""The request path: balancing, admission, retries, keys and streaming."""

from citronrail.routing._balancing import policy_of
from citronrail.routing._key_verdicts import KeyAnswer
from citronrail.routing._keys import Keeper
from citronrail.routing._keys import KeyService
from citronrail.routing._owned_keys import OwnedKeys
from citronrail.routing._requests import CallerRequest
from citronrail.routing._requests import OpenRequest
from citronrail.routing._requests import Problem
from citronrail.routing._requests import Respond
from citronrail.routing._router import RequestRouter
from citronrail.routing._runner import RequestRunner
from citronrail.routing._slots import RunnerLimits

__all__ = [
    'CallerRequest',
    'Keeper',
    'KeyAnswer',
    'KeyService',
    'OpenRequest',
    'OwnedKeys',
    'Problem',
    'RequestRouter',
    'RequestRunner',
    'Respond',
    'RunnerLimits',
    'policy_of',
]
