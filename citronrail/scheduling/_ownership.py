"""Deadline until which an ownership of a shard is certainly valid."""

import dataclasses
import math

from citronrail.model import identifiers
from citronrail.scheduling import _interfaces


@dataclasses.dataclass(frozen=True)
class Ownership:
    """An ownership of a range, whose validity is looked up at each use."""

    range_id: identifiers.RangeId
    fencing: identifiers.FencingToken
    lookup: _interfaces.RangeLookup

    @property
    def deadline(self) -> float:
        """Local time until which starts and commits are allowed.

        It is in the past if the range was lost or taken over, or if commits
        are not allowed because only promises of other entries extend the
        ownership.
        """
        owned = self.lookup.find(self.range_id)
        if (
            owned is None
            or owned.fencing != self.fencing
            or not owned.commits_allowed
        ):
            return -math.inf
        return owned.deadline
