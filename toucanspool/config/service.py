"""The configuration of a process as a service."""

from collections.abc import Callable
from contextlib import ExitStack

import structlog

from toucanspool.config.failures import ChangesPruned
from toucanspool.config.follower import Follower
from toucanspool.config.records import BadRecord, Change, encode
from toucanspool.config.store import ConfigStore
from toucanspool.config.view import View
from toucanspool.kernel.kernel import Kernel
from toucanspool.kernel.ticker import Ticker
from toucanspool.platform.table import TableError
from toucanspool.wire.gen.messages.ttypes import Changes, Pull

MAX_CHANGES = 64

_log = structlog.get_logger()


class ConfigService:
    """Keep the configuration in force and tell others of this process.

    Parameters
    ----------
    interval_s : float
        Time between polls of the table, in seconds.
    """

    __slots__ = ("_closing", "_follower", "_interval_s", "_listeners", "store")

    def __init__(self, interval_s: float) -> None:
        self._interval_s = interval_s
        self._listeners: list[Callable[[], None]] = []
        self._closing = ExitStack()

    @property
    def ready(self) -> bool:
        """Whether there is a configuration."""
        return self._follower.revision > 0

    @property
    def revision(self) -> int:
        """The revision in force; 0 where there is none."""
        return self._follower.revision

    @property
    def view(self) -> View:
        """The configuration in force.

        Raises
        ------
        NoConfiguration
            There is none yet.
        """
        return self._follower.view

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call a function whenever another revision is in force.

        Parameters
        ----------
        listener : callable
            Takes nothing.
        """
        self._listeners.append(listener)

    def start(self, kernel: Kernel) -> None:
        """Pull the configuration and go on polling; see `Service`."""
        table = kernel.find("platform").table
        self.store = ConfigStore(table, rng=kernel.find("rng").named("config"))
        self._follower = Follower(
            self.store, on_change=self._changed, on_load=self._loaded
        )
        self._poll()
        rng = kernel.find("rng").named("config-poll")
        ticker = Ticker("config", self._interval_s, self._poll, rng=rng)
        ticker.start()
        self._closing.callback(ticker.stop)

    def stop(self) -> None:
        """End polling; see `Service`."""
        self._closing.close()

    def offer(self, changes: Changes) -> None:
        """Take changes heard from another process.

        Parameters
        ----------
        changes : Changes
            The message.
        """
        try:
            self._follower.offer(changes.records)
        except BadRecord as exc:
            _log.warning("bad change offered", error=str(exc))

    def answer(self, pull: Pull) -> Changes:
        """Return the changes that another process asks for.

        Parameters
        ----------
        pull : Pull
            What it has.

        Returns
        -------
        Changes
        """
        try:
            changes = self._follower.changes_after(pull.after, MAX_CHANGES)
        except ChangesPruned:
            changes = []
        return Changes(
            call=pull.call,
            newest=self.revision,
            records=[encode(change) for change in changes],
        )

    def _poll(self) -> None:
        try:
            self._follower.poll()
        except TableError as exc:
            _log.warning("configuration not polled", error=str(exc))

    def _changed(self, change: Change) -> None:
        _log.info(
            "configuration in force",
            revision=change.revision,
            operator=change.operator,
            sentence=change.sentence,
        )
        self._tell()

    def _loaded(self, view: View) -> None:
        _log.info("configuration loaded", revision=view.revision)
        self._tell()

    def _tell(self) -> None:
        for listener in self._listeners:
            listener()
