"""Periodic maintenance of the platform's stores, run by one elected entry."""

import time

import structlog

from toucanspool.config.service import ConfigService
from toucanspool.config.snapshot_keeper import (
    SNAPSHOT_EVERY_CHANGES,
    SnapshotKeeper,
)
from toucanspool.kernel.kernel import Kernel
from toucanspool.protected.cleaner import ClaimCleaner

CLEANUP_INTERVAL_S = 10.0
SNAPSHOT_INTERVAL_S = 30.0

_log = structlog.get_logger()


class ClaimsCleanup:
    """Remove old claims, and mark claims of lost instances as abandoned."""

    __slots__ = ("_janitor",)

    def __init__(self) -> None:
        self._janitor: ClaimCleaner | None = None

    def __call__(self, kernel: Kernel) -> None:
        """Process the next pages of claims.

        Parameters
        ----------
        kernel : Kernel
            Provides the platform and the list of instances.
        """
        platform = kernel.find("platform")
        live = {instance.name for instance in kernel.find("instances").instances}
        if not live:
            return
        if self._janitor is None:
            self._janitor = ClaimCleaner(
                platform.table, platform.objects, now=time.monotonic
            )
        cleaned = self._janitor.step(live)
        if cleaned.removed or cleaned.abandoned:
            _log.info(
                "claims cleaned", removed=cleaned.removed, abandoned=cleaned.abandoned
            )


class SnapshotMaintenance:
    """Store a snapshot of the configuration when it is due, and prune old rows."""

    __slots__ = ("_checked_revision", "_keeper")

    def __init__(self) -> None:
        self._keeper: SnapshotKeeper | None = None
        self._checked_revision = -SNAPSHOT_EVERY_CHANGES

    def __call__(self, kernel: Kernel) -> None:
        """Store a snapshot if enough revisions have passed since the last check.

        Parameters
        ----------
        kernel : Kernel
            Provides the platform and the configuration.
        """
        config: ConfigService = kernel.find("config")
        due = config.revision - self._checked_revision >= SNAPSHOT_EVERY_CHANGES
        if not config.ready or not due:
            return
        if self._keeper is None:
            platform = kernel.find("platform")
            self._keeper = SnapshotKeeper(platform.table, platform.objects)
        view = config.view
        if self._keeper.write_if_due(view):
            _log.info("configuration snapshot stored", revision=view.revision)
        self._keeper.prune(view.revision)
        self._checked_revision = view.revision
