"""Starts, drains and stops the components of a process."""

import collections.abc
import dataclasses
import signal

import trio

from citronrail import observability
from citronrail.observability.catalogue import daemon as events

Hook = collections.abc.Callable[[], collections.abc.Awaitable[None]]
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL = signal.SIGHUP
# Of the time limit for draining, this is left to the last component, which
# answers callers: a store that hangs delays the drains before it.
RESERVED_DRAIN_SHARE = 0.25
MAX_RESERVE_S = 1.5


@dataclasses.dataclass(frozen=True)
class Component:
    """A named component and its life-cycle hooks.

    ``drain`` completes or transfers the work that was accepted.
    """

    name: str
    run: collections.abc.Callable[..., collections.abc.Awaitable[None]]
    drain: Hook | None = None


class Application:
    """Runs the components of a process.

    Components start in the order in which they were added, drain in the
    reverse order, and are cancelled together at the end.

    :param node_id: name of the process.
    :param drain_limit_s: time limit for draining, in seconds.
    """

    def __init__(self, node_id: str, drain_limit_s: float = 30.0) -> None:
        self._node_id = node_id
        self._drain_limit_s = drain_limit_s
        self._reserve_s = min(
            MAX_RESERVE_S, drain_limit_s * RESERVED_DRAIN_SHARE
        )
        self._components: list[Component] = []
        self._on_started: list[Hook] = []
        self._on_reload: list[Hook] = []
        self._stop = trio.Event()
        self._stop_reason = 'none'
        self.ready = False
        self.draining = False
        # Local time by which the process has drained, infinity before a stop.
        self.drain_ends_at = float('inf')

    def add(
        self,
        name: str,
        run: collections.abc.Callable[..., collections.abc.Awaitable[None]],
        drain: Hook | None = None,
    ) -> None:
        """Add a component.

        :param name: name for events.
        :param run: coroutine function that takes ``task_status``.
        :param drain: coroutine function awaited at a planned stop, or None.
        """
        self._components.append(Component(name, run, drain))

    def on_started(self, hook: Hook) -> None:
        """Await ``hook`` once every component has started."""
        self._on_started.append(hook)

    def on_reload(self, hook: Hook) -> None:
        """Await ``hook`` on SIGHUP, which signals changed settings.

        If a hook fails, that is logged and the process continues unchanged.
        """
        self._on_reload.append(hook)

    def stop(self, reason: str = 'request') -> None:
        """Begin a planned stop."""
        self._stop_reason = reason
        self._stop.set()

    async def run(self, handle_signals: bool = True) -> None:
        """Run all components until a planned stop is complete.

        :param handle_signals: treat SIGTERM and SIGINT as a planned stop,
            SIGINT during it as an immediate stop, and SIGHUP as a reload.
        """
        async with trio.open_nursery() as nursery:
            if handle_signals:
                await nursery.start(self._watch_signals, nursery.cancel_scope)
            for component in self._components:
                await self._start(nursery, component)
            self.ready = True
            for hook in self._on_started:
                await hook()
            await self._stop.wait()
            await self._drain()
            nursery.cancel_scope.cancel()
        observability.emit(events.STOPPED, node=self._node_id)

    async def _start(
        self, nursery: trio.Nursery, component: Component
    ) -> None:
        try:
            await nursery.start(component.run)
        except Exception as exc:
            observability.emit(
                events.COMPONENT_FAILED, component=component.name, reason=exc
            )
            raise
        observability.emit(events.COMPONENT_STARTED, component=component.name)

    async def _drain(self) -> None:
        self.ready = False
        self.draining = True
        observability.emit(events.DRAIN_STARTED, signal=self._stop_reason)
        ends_at = trio.current_time() + self._drain_limit_s
        self.drain_ends_at = ends_at
        draining = [c for c in reversed(self._components) if c.drain]
        for component in draining:
            assert component.drain is not None
            deadline = ends_at
            if component is not draining[-1]:
                deadline -= self._reserve_s
            started_at = trio.current_time()
            with trio.move_on_at(deadline) as scope:
                await component.drain()
            if scope.cancelled_caught:
                observability.emit(
                    events.DRAIN_TIMED_OUT, component=component.name
                )
                continue
            observability.emit(
                events.COMPONENT_DRAINED,
                component=component.name,
                seconds=round(trio.current_time() - started_at, 3),
            )

    async def _watch_signals(
        self,
        scope: trio.CancelScope,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        with trio.open_signal_receiver(
            *STOP_SIGNALS, RELOAD_SIGNAL
        ) as received:
            task_status.started()
            async for number in received:
                name = signal.Signals(number).name
                if number == RELOAD_SIGNAL:
                    await self._reload()
                    continue
                if self._stop.is_set() and number != signal.SIGINT:
                    # Planned stops may overlap; requests are still answered.
                    observability.emit(events.STOP_REPEATED, signal=name)
                    continue
                if self._stop.is_set():
                    observability.emit(events.KILLED, signal=name)
                    scope.cancel()
                    return
                self.stop(name)

    async def _reload(self) -> None:
        observability.emit(events.RELOADED, node=self._node_id)
        for hook in self._on_reload:
            try:
                await hook()
            except Exception as exc:  # noqa: BLE001
                observability.emit(events.RELOAD_FAILED, reason=repr(exc))
