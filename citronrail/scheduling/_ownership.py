"""Until when one ownership of a shard certainly holds."""

import dataclasses
import math

from citronrail.model import identifiers
from citronrail.scheduling import _interfaces


@dataclasses.dataclass(frozen=True)
class Ownership:
    """One ownership of a range, looked up again at each use."""

    range_id: identifiers.RangeId
    fencing: identifiers.FencingToken
    lookup: _interfaces.RangeLookup

    @property
    def deadline(self) -> float:
        """Local time until which starts and commits are allowed.

        In the past once the range was lost, taken over, or is held by the
        promises of other entries only.
        """
        owned = self.lookup.find(self.range_id)
        if (
            owned is None
            or owned.fencing != self.fencing
            or not owned.commits_allowed
        ):
            return -math.inf
        return owned.deadline
