"""The kernel service that holds a process's clients of the platform."""

from contextlib import ExitStack

from toucanspool.backing.http_instances import HttpInstances
from toucanspool.backing.http_objects import HttpObjects
from toucanspool.backing.http_table import HttpTable
from toucanspool.kernel.kernel import Kernel
from toucanspool.settings.settings import Platform


class PlatformService:
    """Hold the clients of the platform's services.

    Parameters
    ----------
    cfg : Platform
        Addresses and timeout of the services.

    Attributes
    ----------
    table : Table
        The transactional table.
    objects : Objects
        The object store.
    instances : InstanceList
        The list of instances, which lags behind.
    """

    __slots__ = ("_closing", "instances", "objects", "table")

    def __init__(self, cfg: Platform) -> None:
        timeout_s = cfg.timeout_s
        self.table = HttpTable(cfg.table.host, cfg.table.port, timeout_s=timeout_s)
        self.objects = HttpObjects(
            cfg.objects.host, cfg.objects.port, timeout_s=timeout_s
        )
        self.instances = HttpInstances(
            cfg.instances.host, cfg.instances.port, timeout_s=timeout_s
        )
        self._closing = ExitStack()

    def start(self, kernel: Kernel) -> None:
        """Register the clients to be closed by `stop`; see `Service`."""
        for client in (self.table, self.objects, self.instances):
            self._closing.callback(client.close)

    def stop(self) -> None:
        """Close all connections; see `Service`."""
        self._closing.close()
