"""Follows the settings while two operators race."""

import dataclasses
import random

import trio

from citronrail import coordination
from citronrail import errors
from citronrail import model
from standins import key_value


def take_out(settings: model.Settings) -> model.Settings:
    """Take the data centre Leicester out of service."""
    out = model.DataCentreSettings(in_service=False)
    data_centres = {**settings.data_centres, 'Leicester': out}
    return dataclasses.replace(settings, data_centres=data_centres)


async def main() -> None:
    """Run the example."""
    store = key_value.MemoryStore()
    follower = coordination.SettingsFollower(store)
    writer = coordination.SettingsWriter(store, None, random.Random(1))
    async with trio.open_nursery() as nursery:
        await nursery.start(follower.run)
        deadline = trio.current_time() + 5
        for command in ('command-1', 'command-1', 'command-2'):
            try:
                applied = await writer.apply(
                    model.CommandId(command),
                    take_out,
                    'take Leicester out',
                    expected_version=0,
                    deadline=deadline,
                )
                print(f'{command} made version {applied.version}')
            except errors.CommandConflict as exc:
                print(f'{command} lost to {exc.winner_id}')
        settings = await follower.changed(0)
        print(f'in service: {settings.data_centre_in_service("Leicester")}')
        nursery.cancel_scope.cancel()


if __name__ == '__main__':
    trio.run(main)
