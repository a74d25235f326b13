"""The platform's services as one process reaches them."""

from contextlib import ExitStack

from toucanspool.backing.http_instances import HttpInstances
from toucanspool.backing.http_objects import HttpObjects
from toucanspool.backing.http_table import HttpTable
from toucanspool.kernel.kernel import Kernel
from toucanspool.settings.settings import Platform


class PlatformService:
    """Own the connections to the platform.

    Parameters
    ----------
    cfg : Platform
        Where its services are.

    Attributes
    ----------
    table : Table
        The transactional table.
    objects : Objects
        The object store.
    instances : InstanceList
        The lagging list of instances.
    """

    __slots__ = ("_closing", "instances", "objects", "table")

    def __init__(self, cfg: Platform) -> None:
        wait = cfg.timeout_s
        self.table = HttpTable(cfg.table.host, cfg.table.port, timeout_s=wait)
        self.objects = HttpObjects(cfg.objects.host, cfg.objects.port, timeout_s=wait)
        self.instances = HttpInstances(
            cfg.instances.host, cfg.instances.port, timeout_s=wait
        )
        self._closing = ExitStack()

    def start(self, kernel: Kernel) -> None:
        """Take over the clients; see `Service`."""
        for client in (self.table, self.objects, self.instances):
            self._closing.callback(client.close)

    def stop(self) -> None:
        """Close all connections; see `Service`."""
        self._closing.close()
