"""Runs the document of a shard concurrently with the shard itself."""

import trio

from citronrail.scheduling import _interfaces


async def run_document(
    document: _interfaces.ShardDocument,
    loaded: trio.Event,
    scope: trio.CancelScope,
) -> None:
    """Run a document and stop the shard when the document ends.

    :param document: the shard's document.
    :param loaded: set once the shard is loaded.
    :param scope: scope of the shard, cancelled when the document ends.
    """
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_start_document, nursery, document, loaded)
    scope.cancel()


async def _start_document(
    nursery: trio.Nursery,
    document: _interfaces.ShardDocument,
    loaded: trio.Event,
) -> None:
    try:
        await nursery.start(document.run)
    except RuntimeError:
        return  # the ownership ended before the shard was loaded
    loaded.set()
