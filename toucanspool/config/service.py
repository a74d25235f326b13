"""The configuration of a process as a service."""

import time
from collections.abc import Callable, Iterable, Iterator, Sequence
from contextlib import ExitStack
from typing import Any

import gevent
import structlog

from toucanspool.backing.table import TableError
from toucanspool.config.failures import ChangesPruned
from toucanspool.config.follower import Follower
from toucanspool.config.records import BadRecord, Change, decode_record, encode
from toucanspool.config.snapshot import SnapshotReader
from toucanspool.config.store import ConfigStore
from toucanspool.config.view import View
from toucanspool.kernel.kernel import Kernel
from toucanspool.kernel.ticker import Ticker
from toucanspool.wire.gen.messages.ttypes import Changes, Pull

MAX_CHANGES = 64
SLICE_RECORDS = 500
QUIET_S = 3.0

_log = structlog.get_logger()


class _Whole:
    """Give one view; implements `ConfigSource`."""

    __slots__ = ("_view",)

    def __init__(self, view: View) -> None:
        self._view = view

    def load(self) -> View:
        return self._view

    def changes_after(self, revision: int, limit: int) -> Sequence[Change]:
        if revision < self._view.revision:
            raise ChangesPruned(revision, self._view.revision)
        return []


class ConfigService:
    """Keep the configuration in force and tell others of this process.

    Parameters
    ----------
    interval_s : float
        Time between polls of the table, in seconds.
    updated_by_peers : bool, default=False
        Whether other processes tell this one of changes; it polls only while none
        does.
    """

    __slots__ = (
        "_closing",
        "_follower",
        "_peer_contact_at",
        "_interval_s",
        "_listeners",
        "_updated_by_peers",
        "store",
    )

    def __init__(self, interval_s: float, *, updated_by_peers: bool = False) -> None:
        self._interval_s = interval_s
        self._updated_by_peers = updated_by_peers
        self._peer_contact_at = -QUIET_S
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
        platform = kernel.find("platform")
        rng = kernel.find("rng").named("config")
        self.store = ConfigStore(platform.table, rng=rng)
        reader = SnapshotReader(platform.table, platform.objects)
        self._follower = Follower(reader, on_change=self._changed, on_load=self._loaded)
        self._poll()
        rng = kernel.find("rng").named("config-poll")
        ticker = Ticker("config", self._interval_s, self._poll, rng=rng)
        ticker.start()
        self._closing.callback(ticker.stop)

    def stop(self) -> None:
        """End polling; see `Service`."""
        self._closing.close()

    def record_peer_contact(self) -> None:
        """Take note that another process tells this one of its revision."""
        self._peer_contact_at = time.monotonic()

    def apply_local_change(self, change: Change) -> None:
        """Put a change in force that this process itself has made.

        Parameters
        ----------
        change : Change
            The change.
        """
        if not self._follower.offer([encode(change)]) or not self.ready:
            self._poll()

    def receive_changes(self, changes: Changes) -> None:
        """Take what another process sent of its configuration.

        Parameters
        ----------
        changes : Changes
            The message.
        """
        try:
            if changes.whole:
                records = list(_in_slices(decode_record, changes.records))
                view = View(revision=changes.newest, records=records)
                self._follower.pull(_Whole(view))
            else:
                self._follower.offer(changes.records)
        except BadRecord as exc:
            _log.warning("bad configuration offered", error=str(exc))

    def answer_pull(self, pull: Pull) -> Changes:
        """Return what another process that is behind lacks.

        Parameters
        ----------
        pull : Pull
            What it has.

        Returns
        -------
        Changes
        """
        whole = pull.after == 0 and self.ready
        try:
            items = self._follower.changes_after(pull.after, MAX_CHANGES)
        except ChangesPruned:
            whole = True
        newest = self.revision
        if whole:
            items = self.view.all_records()
        records = list(_in_slices(encode, items))
        return Changes(call=pull.call, newest=newest, records=records, whole=whole)

    def _poll(self) -> None:
        quiet = time.monotonic() - self._peer_contact_at >= QUIET_S
        if self._updated_by_peers and self.ready and not quiet:
            return
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


def _in_slices(convert: Callable[[Any], Any], items: Iterable[Any]) -> Iterator[Any]:
    """Convert items, letting other greenlets run now and then."""
    for number, item in enumerate(items, start=1):
        yield convert(item)
        if number % SLICE_RECORDS == 0:
            gevent.sleep(0)
