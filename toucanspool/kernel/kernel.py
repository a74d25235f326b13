"""The micro-kernel: services found by name, started in order, stopped in reverse."""

from contextlib import ExitStack
from typing import Any, Protocol, runtime_checkable


class Service(Protocol):
    """Do one job in a process."""

    def start(self, kernel: "Kernel") -> None:
        """Begin work; services registered before are running.

        Parameters
        ----------
        kernel : Kernel
            Where other services are found.
        """
        ...

    def stop(self) -> None:
        """End work and close all that the service owns."""
        ...


@runtime_checkable
class Reloadable(Protocol):
    """Take new settings while running."""

    def reload(self, cfg: Any) -> None:
        """Put new settings in force.

        Parameters
        ----------
        cfg : Any
            The settings.
        """
        ...


class UnknownService(Exception):
    """Report that no service has a name.

    Parameters
    ----------
    name : str
        The name asked for.
    """

    def __init__(self, name: str) -> None:
        super().__init__(f"no service is named {name!r}")
        self.name = name


class DuplicateService(Exception):
    """Report that a name is taken.

    Parameters
    ----------
    name : str
        The name.
    """

    def __init__(self, name: str) -> None:
        super().__init__(f"a service is named {name!r} already")
        self.name = name


class Kernel:
    """Hold the services of one process."""

    __slots__ = ("_running", "_services")

    def __init__(self) -> None:
        self._services: dict[str, Service] = {}
        self._running = ExitStack()

    def add(self, name: str, service: Service) -> None:
        """Register a service.

        Parameters
        ----------
        name : str
            Its name.
        service : Service
            The service.

        Raises
        ------
        DuplicateService
            The name is taken.
        """
        if name in self._services:
            raise DuplicateService(name)
        self._services[name] = service

    def find(self, name: str) -> Any:
        """Return the service of a name.

        Parameters
        ----------
        name : str
            Its name.

        Returns
        -------
        Service

        Raises
        ------
        UnknownService
            No service has that name.
        """
        try:
            return self._services[name]
        except KeyError:
            raise UnknownService(name) from None

    def start(self) -> None:
        """Start all services in the order of registration.

        A service that fails to start stops those before it.
        """
        with ExitStack() as starting:
            for service in self._services.values():
                service.start(self)
                starting.callback(service.stop)
            self._running = starting.pop_all()

    def reload(self, cfg: Any) -> None:
        """Give new settings to the services that can change theirs while they run.

        Parameters
        ----------
        cfg : Any
            The new settings.
        """
        for service in self._services.values():
            if isinstance(service, Reloadable):
                service.reload(cfg)

    def stop(self) -> None:
        """Stop all services in the reverse order, each even if another fails."""
        self._running.close()
