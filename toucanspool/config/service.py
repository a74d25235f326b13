"""Kernel service that holds a process's configuration and keeps it current."""

import time
from collections.abc import Callable, Iterable, Iterator, Sequence
from contextlib import ExitStack
from typing import Any

import gevent
import structlog
from gevent.event import Event

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

MAX_MESSAGE_CHANGES = 64
YIELD_INTERVAL_RECORDS = 500
PEER_TIMEOUT_S = 3.0

_log = structlog.get_logger()


class _ViewSource:
    """Provide a complete view and no changes; implements `ConfigSource`."""

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
    """Keep the active configuration current and notify listeners in this process.

    Parameters
    ----------
    interval_s : float
        Time between polls of the table, in seconds.
    updated_by_peers : bool, default=False
        Whether peers send changes to this process. It then polls the table only
        while it has no configuration or no peer has been in contact for
        `PEER_TIMEOUT_S`.
    """

    __slots__ = (
        "_closing",
        "_follower",
        "_peer_contact_at",
        "_interval_s",
        "_listeners",
        "_loaded",
        "_updated_by_peers",
        "store",
    )

    def __init__(self, interval_s: float, *, updated_by_peers: bool = False) -> None:
        self._interval_s = interval_s
        self._updated_by_peers = updated_by_peers
        self._peer_contact_at = -PEER_TIMEOUT_S
        self._listeners: list[Callable[[], None]] = []
        self._loaded = Event()
        self._closing = ExitStack()

    @property
    def ready(self) -> bool:
        """Whether a configuration is loaded."""
        return self._follower.revision > 0

    @property
    def revision(self) -> int:
        """Active revision; 0 if no configuration is loaded."""
        return self._follower.revision

    @property
    def view(self) -> View:
        """Active configuration.

        Raises
        ------
        NoConfiguration
            No configuration is loaded yet.
        """
        return self._follower.view

    def on_change(self, listener: Callable[[], None]) -> None:
        """Register a function to call after each change of the active revision.

        Parameters
        ----------
        listener : callable
            Called without arguments.
        """
        self._listeners.append(listener)

    def wait(self, timeout_s: float) -> bool:
        """Wait until a configuration is loaded.

        Parameters
        ----------
        timeout_s : float
            Longest wait, in seconds.

        Returns
        -------
        bool
            Whether one is loaded.
        """
        return self._loaded.wait(timeout_s)

    def start(self, kernel: Kernel) -> None:
        """Load the configuration and start polling the table; see `Service`."""
        platform = kernel.find("platform")
        rng = kernel.find("rng").named("config")
        self.store = ConfigStore(platform.table, rng=rng)
        reader = SnapshotReader(platform.table, platform.objects)
        self._follower = Follower(
            reader, on_change=self._on_change, on_load=self._on_load
        )
        self._poll()
        rng = kernel.find("rng").named("config-poll")
        ticker = Ticker("config", self._interval_s, self._poll, rng=rng)
        ticker.start()
        self._closing.callback(ticker.stop)

    def stop(self) -> None:
        """Stop polling; see `Service`."""
        self._closing.close()

    def record_peer_contact(self) -> None:
        """Record the time of a message from a peer."""
        self._peer_contact_at = time.monotonic()

    def apply_local_change(self, change: Change) -> None:
        """Apply a change that this process itself has written to the table.

        Polls the table if an earlier change or the configuration is missing.

        Parameters
        ----------
        change : Change
            The accepted change.
        """
        if not self._follower.offer([encode(change)]) or not self.ready:
            self._poll()

    def receive_changes(self, changes: Changes) -> None:
        """Apply changes, or the complete configuration, sent by a peer.

        Parameters
        ----------
        changes : Changes
            The peer's message; an invalid one is logged and dropped.
        """
        try:
            if changes.whole:
                records = list(_convert_items(decode_record, changes.records))
                view = View(revision=changes.newest, records=records)
                self._follower.pull(_ViewSource(view))
            else:
                self._follower.offer(changes.records)
        except BadRecord as exc:
            _log.warning("invalid configuration received from a peer", error=str(exc))

    def answer_pull(self, pull: Pull) -> Changes:
        """Return the changes that a peer is missing.

        Parameters
        ----------
        pull : Pull
            Request with the peer's revision.

        Returns
        -------
        Changes
            At most `MAX_MESSAGE_CHANGES` changes, or all records if the peer has no
            configuration or the changes are no longer kept.
        """
        whole = pull.after == 0 and self.ready
        try:
            items = self._follower.changes_after(pull.after, MAX_MESSAGE_CHANGES)
        except ChangesPruned:
            whole = True
        newest = self.revision
        if whole:
            items = self.view.all_records()
        records = list(_convert_items(encode, items))
        return Changes(call=pull.call, newest=newest, records=records, whole=whole)

    def _poll(self) -> None:
        peers_silent = time.monotonic() - self._peer_contact_at >= PEER_TIMEOUT_S
        if self._updated_by_peers and self.ready and not peers_silent:
            return
        try:
            self._follower.poll()
        except TableError as exc:
            _log.warning("configuration not polled", error=str(exc))

    def _on_change(self, change: Change) -> None:
        _log.info(
            "configuration in force",
            revision=change.revision,
            operator=change.operator,
            sentence=change.sentence,
        )
        self._notify()

    def _on_load(self, view: View) -> None:
        _log.info("configuration loaded", revision=view.revision)
        self._notify()

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()
        self._loaded.set()


def _convert_items(
    convert: Callable[[Any], Any], items: Iterable[Any]
) -> Iterator[Any]:
    """Convert items, yielding to other greenlets at regular intervals."""
    for count, item in enumerate(items, start=1):
        yield convert(item)
        if count % YIELD_INTERVAL_RECORDS == 0:
            gevent.sleep(0)
