"""The services of a process: registered by name, started and stopped in order."""

from contextlib import ExitStack
from typing import Any, Protocol, runtime_checkable


class Service(Protocol):
    """Define how the kernel starts and stops a service."""

    def start(self, kernel: "Kernel") -> None:
        """Start the service; those registered before it are running.

        Parameters
        ----------
        kernel : Kernel
            Finds the services that this one depends on.
        """
        ...

    def stop(self) -> None:
        """Stop the service and release its resources."""
        ...


@runtime_checkable
class Reloadable(Protocol):
    """Define how a running service takes new settings."""

    def reload(self, cfg: Any) -> None:
        """Apply new settings.

        Parameters
        ----------
        cfg : Any
            Settings of the whole process.
        """
        ...


class UnknownService(Exception):
    """Report that no service is registered under a name.

    Parameters
    ----------
    name : str
        The name that was looked up.
    """

    def __init__(self, name: str) -> None:
        super().__init__(f"no service is named {name!r}")
        self.name = name


class DuplicateService(Exception):
    """Report that another service is registered under a name.

    Parameters
    ----------
    name : str
        The name that was registered twice.
    """

    def __init__(self, name: str) -> None:
        super().__init__(f"a service is named {name!r} already")
        self.name = name


class Kernel:
    """Register, start and stop the services of a process."""

    __slots__ = ("_exit_stack", "_services")

    def __init__(self) -> None:
        self._services: dict[str, Service] = {}
        self._exit_stack = ExitStack()

    def add(self, name: str, service: Service) -> None:
        """Register a service.

        Parameters
        ----------
        name : str
            Name by which other services find it.
        service : Service
            The service; it is started by `start`.

        Raises
        ------
        DuplicateService
            Another service has that name.
        """
        if name in self._services:
            raise DuplicateService(name)
        self._services[name] = service

    def find(self, name: str) -> Any:
        """Return the service that is registered under a name.

        Parameters
        ----------
        name : str
            Name of the service.

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

        If one fails to start, those that were started are stopped again.
        """
        with ExitStack() as starting:
            for service in self._services.values():
                service.start(self)
                starting.callback(service.stop)
            self._exit_stack = starting.pop_all()

    def reload(self, cfg: Any) -> None:
        """Pass new settings to each service that is `Reloadable`.

        Parameters
        ----------
        cfg : Any
            Settings of the whole process.
        """
        for service in self._services.values():
            if isinstance(service, Reloadable):
                service.reload(cfg)

    def stop(self) -> None:
        """Stop all services in reverse order, also when one of them fails."""
        self._exit_stack.close()
