"""Admits tasks to a host as long as they fit."""

import trio

from citronrail import coordination
from citronrail import model


async def main() -> None:
    """Run the example."""
    ledger = coordination.CapacityLedger(model.Resources(16_000, 60_000))
    size = model.Resources(8_000, 20_000)
    attempts = [
        model.AttemptId(model.TaskId('weekly-rota', index), 1)
        for index in range(3)
    ]
    print('before it is rebuilt:', ledger.admit(attempts[0], size).reason)
    ledger.rebuild([])
    for attempt in attempts:
        admission = ledger.admit(attempt, size)
        print(attempt, admission.accepted, admission.reason)
    ledger.observe(attempts[0], model.Resources(0, 50_000))
    print('overfull:', ledger.overfull)
    ledger.release(attempts[0])
    print('free:', ledger.free)


if __name__ == '__main__':
    trio.run(main)
