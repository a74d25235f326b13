"""Exchange of configuration among entries, and from entries to agents."""

from contextlib import ExitStack

import gevent
import structlog

from toucanspool.backing.instances import ROLE_ENTRY, Instance
from toucanspool.config.exchange import ConfigExchange
from toucanspool.config.service import ConfigService
from toucanspool.entry.link import Link
from toucanspool.entry.router import Router
from toucanspool.kernel.kernel import Kernel
from toucanspool.kernel.ticker import Ticker
from toucanspool.membership.gossip import GossipTargets
from toucanspool.membership.service import InstancesService
from toucanspool.settings.settings import Settings
from toucanspool.wire.connection import Connection, ConnectionLost
from toucanspool.wire.gen.messages.ttypes import Frame, Pull, Report
from toucanspool.wire.listener import Listener

HELLO_INTERVAL_S = 1.0

_log = structlog.get_logger()


class PeersService:
    """Push changes to other entries and to the agents assigned to this one.

    Parameters
    ----------
    cfg : Settings
        Settings of the process.
    """

    __slots__ = (
        "_cfg",
        "_closing",
        "_config",
        "_exchange",
        "_gossip",
        "_instances",
        "_links",
        "_listener",
        "_pushed_revision",
        "_router",
    )

    def __init__(self, cfg: Settings) -> None:
        self._cfg = cfg
        self._closing = ExitStack()
        self._links: dict[str, Link] = {}
        self._listener = Listener(cfg.host, cfg.port, lambda: self)
        self._pushed_revision = 0

    def start(self, kernel: Kernel) -> None:
        """Start listening and pushing changes; see `Service`."""
        self._config: ConfigService = kernel.find("config")
        self._router: Router = kernel.find("router")
        self._exchange = ConfigExchange(self._cfg, self._config)
        rngs = kernel.find("rng")
        self._gossip = GossipTargets(self._cfg.instance, rngs.named("spread"))
        self._pushed_revision = self._config.revision
        instances: InstancesService = kernel.find("instances")
        self._instances = instances
        instances.on_update(self._update_instances)
        self._update_instances(instances.instances)
        self._config.on_change(self._push_changes)
        with ExitStack() as starting:
            starting.callback(self._close_links)
            self._listener.start(kernel.find("clients"))
            starting.callback(self._listener.stop)
            ticker = Ticker(
                "peers",
                HELLO_INTERVAL_S,
                self._send_hellos,
                rng=rngs.named("peers"),
            )
            ticker.start()
            starting.callback(ticker.stop)
            self._closing = starting.pop_all()

    def stop(self) -> None:
        """Stop listening and pushing changes; see `Service`."""
        self._closing.close()

    def received(self, conn: Connection, frame: Frame) -> None:
        """Handle a message on an incoming connection; see `Receiver`."""
        self._exchange.handle(conn, frame)

    def lost(self, conn: Connection) -> None:
        """Do nothing: the peer reconnects; see `Receiver`."""

    def on_report(self, report: Report) -> None:
        """Do nothing: entries report no load; see `LinkHandler`."""

    def on_message(self, conn: Connection, frame: Frame) -> None:
        """Handle a message on a link to a peer; see `LinkHandler`."""
        self._exchange.handle(conn, frame)

    def _update_instances(self, instances: list[Instance]) -> None:
        self._gossip.update(instances)
        entries = {i.name: i for i in instances if i.role == ROLE_ENTRY}
        for name in set(self._links) - set(entries):
            self._links.pop(name).close()
        for name, entry in entries.items():
            existing = self._links.get(name)
            if existing is None or (existing.host, existing.port) != (
                entry.host,
                entry.port,
            ):
                if existing is not None:
                    existing.close()
                hello = self._exchange.hello
                self._links[name] = Link(entry.host, entry.port, self, hello)

    def _send_hellos(self) -> None:
        for name in self._gossip.exchange_targets():
            gevent.spawn(self._send, name, Frame(hello=self._exchange.hello()))

    def _push_changes(self) -> None:
        changes = self._config.answer_pull(
            Pull(call=0, after=self._pushed_revision, limit=0)
        )
        self._pushed_revision = self._config.revision
        for name in self._gossip.push_targets():
            gevent.spawn(self._send, name, Frame(changes=changes))

    def _send(self, name: str, frame: Frame) -> None:
        link = self._links.get(name) or self._agent_link(name)
        if link is None:
            return
        try:
            link.connect().send(frame)
        except ConnectionLost as exc:
            _log.debug("peer unreachable", peer=name, error=str(exc))

    def _agent_link(self, name: str) -> Link | None:
        for instance in self._instances.instances:
            if instance.name == name:
                target = self._router.directory.find(instance.upstream)
                return target.link if target else None
        return None

    def _close_links(self) -> None:
        for link in self._links.values():
            link.close()
