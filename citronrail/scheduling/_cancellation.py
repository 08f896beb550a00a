"""Executes a cancellation in all shards that an entry owns."""

import collections.abc
import dataclasses

import trio

from citronrail import errors
from citronrail.model import identifiers
from citronrail import observability
from citronrail.observability.catalogue import scheduling as catalogue
from citronrail.scheduling import _shard_runner

CancelShard = collections.abc.Callable[
    [_shard_runner.ShardRunner], collections.abc.Awaitable[int]
]


@dataclasses.dataclass(frozen=True)
class CancelResult:
    """Number of cancelled tasks, and the ranges in which it failed.

    In the ``failed`` ranges the outcome is unknown or nothing changed; the
    command may be retried with the same id.
    """

    tasks: int
    failed: tuple[identifiers.RangeId, ...] = ()


async def cancel_in_shards(
    runners: collections.abc.Iterable[_shard_runner.ShardRunner],
    loading: collections.abc.Iterable[identifiers.RangeId],
    cancel: CancelShard,
    command_id: str,
) -> CancelResult:
    """Cancel in each shard and add up the cancelled tasks.

    :param runners: the loaded shards.
    :param loading: ranges whose shards are not loaded; they count as failed.
    :param cancel: cancels in one shard and returns the number of tasks.
    :param command_id: identity of the command.
    :returns: number of cancelled tasks, and the failed ranges.
    """
    counts: list[int] = []
    failed = list(loading)

    async def cancel_one(runner: _shard_runner.ShardRunner) -> None:
        try:
            count = await cancel(runner)
        except errors.CitronrailError:
            failed.append(runner.owned.range_id)
            return
        counts.append(count)
        observability.emit(
            catalogue.JOBS_CANCELLED,
            cause=command_id,
            command=command_id,
            tasks=count,
            range=runner.owned.range_id,
        )

    async with trio.open_nursery() as nursery:
        for runner in runners:
            nursery.start_soon(cancel_one, runner)
    return CancelResult(sum(counts), tuple(failed))
