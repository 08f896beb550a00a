"""The backend servers beside an agent, as they announce themselves."""

import collections.abc
import dataclasses

from citronrail import errors
from citronrail.model import identifiers
from citronrail.model import messages
from citronrail import observability
from citronrail.observability.catalogue import routing as events

ANNOUNCEMENT_S = 3.0  # announcements are repeated each second
_AVOID_S = 1.0  # after a failed connection, if there is another one


@dataclasses.dataclass
class Backend:
    """A backend server; ``until`` is a local time in seconds."""

    service: identifiers.ServiceName
    address: str
    incarnation: int
    until: float
    leaving: bool = False
    in_use: int = 0
    avoid_until: float = 0.0


class BackendTable:
    """Announced backend servers.

    :param changed: called when one came, began to leave or lapsed.
    """

    def __init__(self, changed: collections.abc.Callable[[], None]) -> None:
        self._changed = changed
        self._backends: dict[tuple[str, str], Backend] = {}

    def announce(
        self,
        service: identifiers.ServiceName,
        address: str,
        incarnation: int,
        leaving: bool,
        now: float,
    ) -> None:
        """Note an announcement.

        :param service: the service it belongs to.
        :param address: ``http://IP:PORT``.
        :param incarnation: rises with each start of the backend server.
        :param leaving: whether it accepts no new requests.
        :param now: local time in seconds.
        :raises citronrail.errors.CommandRefused: if a later incarnation is
            known, or this one has already said that it leaves.
        """
        known = self._backends.get((service, address))
        if known is not None and self._is_outdated(
            known, incarnation, leaving
        ):
            raise errors.CommandRefused(
                'a later announcement is known', step='backends.announce'
            )
        if known is None or known.incarnation != incarnation:
            known = Backend(service, address, incarnation, 0.0)
            self._backends[(service, address)] = known
            news = not leaving
            if news:
                observability.emit(
                    events.BACKEND_ANNOUNCED, service=service, address=address
                )
        else:
            news = False
        known.until = now + ANNOUNCEMENT_S
        if leaving and not known.leaving:
            known.leaving = news = True
            observability.emit(
                events.BACKEND_LEAVING, service=service, address=address
            )
        if news:
            self._changed()

    def withdraw(self, service: identifiers.ServiceName, address: str) -> None:
        """Forget a backend server that is gone.

        :param service: the service it belongs to.
        :param address: ``http://IP:PORT``.
        """
        backend = self._backends.pop((service, address), None)
        if backend is not None:
            backend.leaving = True
            observability.emit(
                events.BACKEND_LEAVING, service=service, address=address
            )
            self._changed()

    def drop_lapsed(self, now: float) -> None:
        """Forget backend servers whose announcements stopped.

        :param now: local time in seconds.
        """
        lapsed = [
            key
            for key, backend in self._backends.items()
            if backend.until < now
        ]
        for key in lapsed:
            backend = self._backends.pop(key)
            backend.leaving = True
            observability.emit(
                events.BACKEND_LAPSED,
                service=backend.service,
                address=backend.address,
            )
        if lapsed:
            self._changed()

    def choose(
        self, service: identifiers.ServiceName, now: float
    ) -> Backend | None:
        """Choose a backend server for a new request.

        :param service: the service asked for.
        :param now: local time in seconds.
        :returns: the one with the least requests, None if there is none.
        """
        usable = [
            backend
            for backend in self._backends.values()
            if backend.service == service
            and not backend.leaving
            and backend.until >= now
        ]
        return min(
            usable,
            key=lambda one: (one.avoid_until > now, one.in_use),
            default=None,
        )

    def not_reached(self, backend: Backend, now: float) -> None:
        """Note that no connection could be made.

        :param backend: the backend server.
        :param now: local time in seconds.
        """
        backend.avoid_until = now + _AVOID_S

    def states(self) -> tuple[messages.BackendState, ...]:
        """Return what entries are told."""
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
