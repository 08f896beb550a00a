"""Backend servers that announced themselves to the agent of their host."""

import collections.abc
import dataclasses

from citronrail import errors
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail import observability
from citronrail.observability.catalogue import routing as events

ANNOUNCEMENT_TTL_S = 3.0  # validity; announcements are repeated every second
# A backend server that refused a connection is avoided if there is another.
_AVOID_AFTER_FAILURE_S = 1.0


@dataclasses.dataclass
class Backend:
    """A backend server; times are local times in seconds."""

    service: identifiers.ServiceName
    address: str
    incarnation: int
    expires_at: float
    leaving: bool = False
    in_progress: int = 0
    avoid_until: float = 0.0


class BackendTable:
    """Announced backend servers.

    :param on_change: called when one is added, starts to leave or is removed.
    """

    def __init__(self, on_change: collections.abc.Callable[[], None]) -> None:
        self._on_change = on_change
        self._backends: dict[tuple[str, str], Backend] = {}

    def announce(
        self,
        service: identifiers.ServiceName,
        address: str,
        incarnation: int,
        leaving: bool,
        now: float,
    ) -> None:
        """Process an announcement.

        :param service: the service it belongs to.
        :param address: ``http://IP:PORT``.
        :param incarnation: rises with each start of the backend server.
        :param leaving: whether it accepts no new requests.
        :param now: local time in seconds.
        :raises citronrail.errors.CommandRefused: if a later incarnation is
            known, or this one has already announced that it is leaving.
        """
        known = self._backends.get((service, address))
        if known is not None and self._is_outdated(
            known, incarnation, leaving
        ):
            raise errors.CommandRefused(
                'a later announcement is known',
                step='backends.announce',
            )
        if known is None or known.incarnation != incarnation:
            known = Backend(service, address, incarnation, 0.0)
            self._backends[(service, address)] = known
            state_changed = not leaving
            if state_changed:
                observability.emit(
                    events.BACKEND_ANNOUNCED, service=service, address=address
                )
        else:
            state_changed = False
        known.expires_at = now + ANNOUNCEMENT_TTL_S
        if leaving and not known.leaving:
            known.leaving = state_changed = True
            observability.emit(
                events.BACKEND_LEAVING, service=service, address=address
            )
        if state_changed:
            self._on_change()

    def withdraw(self, service: identifiers.ServiceName, address: str) -> None:
        """Remove a backend server that has stopped.

        :param service: the service it belongs to.
        :param address: ``http://IP:PORT``.
        """
        backend = self._backends.pop((service, address), None)
        if backend is not None:
            backend.leaving = True
            observability.emit(
                events.BACKEND_LEAVING, service=service, address=address
            )
            self._on_change()

    def remove_expired(self, now: float) -> None:
        """Remove backend servers whose announcements have expired.

        :param now: local time in seconds.
        """
        expired = [
            key
            for key, backend in self._backends.items()
            if backend.expires_at < now
        ]
        for key in expired:
            backend = self._backends.pop(key)
            backend.leaving = True
            observability.emit(
                events.BACKEND_LAPSED,
                service=backend.service,
                address=backend.address,
            )
        if expired:
            self._on_change()

    def choose(
        self, service: identifiers.ServiceName, now: float
    ) -> Backend | None:
        """Choose a backend server for a new request.

        :param service: the requested service.
        :param now: local time in seconds.
        :returns: the one with the fewest requests, None if there is none.
        """
        usable = [
            backend
            for backend in self._backends.values()
            if backend.service == service
            and not backend.leaving
            and backend.expires_at >= now
        ]
        return min(
            usable,
            key=lambda choice: (choice.avoid_until > now, choice.in_progress),
            default=None,
        )

    def record_connect_failure(self, backend: Backend, now: float) -> None:
        """Record that a connection attempt failed.

        :param backend: the backend server.
        :param now: local time in seconds.
        """
        backend.avoid_until = now + _AVOID_AFTER_FAILURE_S

    def states(self) -> tuple[messages.BackendState, ...]:
        """Return the states to be sent to entries."""
        return tuple(
            messages.BackendState(
                backend.service, backend.incarnation, backend.leaving
            )
            for backend in self._backends.values()
        )

    @staticmethod
    def _is_outdated(known: Backend, incarnation: int, leaving: bool) -> bool:
        if incarnation < known.incarnation:
            return True
        return (
            incarnation == known.incarnation and known.leaving and not leaving
        )
