"""The duties that keep the platform's stores tidy."""

import time

import structlog

from toucanspool.config.service import ConfigService
from toucanspool.config.snapshot import SNAPSHOT_NAME, encode_view
from toucanspool.kernel.kernel import Kernel
from toucanspool.protected.janitor import Janitor

JANITOR_INTERVAL_S = 10.0
SNAPSHOT_INTERVAL_S = 30.0
SNAPSHOT_CHANGES = 32

_log = structlog.get_logger()


class ClaimsUpkeep:
    """Clean up claims, a page at each call."""

    __slots__ = ("_janitor",)

    def __init__(self) -> None:
        self._janitor: Janitor | None = None

    def __call__(self, kernel: Kernel) -> None:
        """Clean one page.

        Parameters
        ----------
        kernel : Kernel
            Where the platform and the list of instances are.
        """
        platform = kernel.find("platform")
        live = {instance.name for instance in kernel.find("instances").instances}
        if not live:
            return
        if self._janitor is None:
            self._janitor = Janitor(
                platform.table, platform.objects, now=time.monotonic
            )
        cleaned = self._janitor.step(live)
        if cleaned.removed or cleaned.abandoned:
            _log.info(
                "claims cleaned", removed=cleaned.removed, abandoned=cleaned.abandoned
            )


class SnapshotUpkeep:
    """Store a snapshot of the configuration after some changes."""

    __slots__ = ("_stored",)

    def __init__(self) -> None:
        self._stored = 0

    def __call__(self, kernel: Kernel) -> None:
        """Store one if it is due.

        Parameters
        ----------
        kernel : Kernel
            Where the platform and the configuration are.
        """
        config: ConfigService = kernel.find("config")
        if not config.ready or config.revision - self._stored < SNAPSHOT_CHANGES:
            return
        view = config.view.copy()
        kernel.find("platform").objects.put(SNAPSHOT_NAME, encode_view(view))
        self._stored = view.revision
        _log.info("configuration snapshot stored", revision=view.revision)
