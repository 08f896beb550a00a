"""Keeps one request from running twice, also across a takeover."""

import uuid_utils

from citronrail import coordination
from citronrail import model
from citronrail.model import messages

RANGE = model.RangeId(0)


def reserve(
    keeper: coordination.IdempotencyKeeper,
    clock: coordination.SteadyClock,
    key: str,
    request: str,
) -> str:
    """Reserve a key and return the verdict."""
    now = clock.now()
    msg = messages.ReserveKey(
        model.RequestId(request), RANGE, key, '', 'digest', 30.0, now.local + 9
    )
    return keeper.reserve(msg, now, owned_until=now.local + 5).reply.verdict


async def main() -> None:
    """Run the example."""
    clock = coordination.SteadyClock()
    keeper = coordination.IdempotencyKeeper(RANGE)
    key = str(uuid_utils.uuid7())
    print('first:', reserve(keeper, clock, key, 'r1'))
    print('while it runs:', reserve(keeper, clock, key, 'r2'))
    done = messages.CompleteKey(
        model.RequestId('r1'), RANGE, key, '', model.Outcome.DONE, True, 200
    )
    keeper.complete(done, b'answer', clock.now())
    print('afterwards:', reserve(keeper, clock, key, 'r3'))
    successor = coordination.IdempotencyKeeper(RANGE)
    records = keeper.handover(clock.now())
    successor.restore(records, clock.now(), complete=True)
    print('after a handover:', reserve(successor, clock, key, 'r4'))
    stranger = coordination.IdempotencyKeeper(RANGE, taken_over=clock.now())
    print('after a crash:', reserve(stranger, clock, key, 'r5'))


if __name__ == '__main__':
    import trio

    trio.run(main)
