"""The talk between entries, and from entries to agents, of configuration."""

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

TICK_S = 1.0

_log = structlog.get_logger()


class PeersService:
    """Spread changes among entries and to the agents assigned to this one.

    Parameters
    ----------
    cfg : Settings
        The process's settings.
    """

    __slots__ = (
        "_cfg",
        "_closing",
        "_config",
        "_exchange",
        "_instances",
        "_links",
        "_listener",
        "_router",
        "_spread",
        "_told",
    )

    def __init__(self, cfg: Settings) -> None:
        self._cfg = cfg
        self._closing = ExitStack()
        self._links: dict[str, Link] = {}
        self._listener = Listener(cfg.host, cfg.port, lambda: self)
        self._told = 0

    def start(self, kernel: Kernel) -> None:
        """Begin listening and telling; see `Service`."""
        self._config: ConfigService = kernel.find("config")
        self._router: Router = kernel.find("router")
        self._exchange = ConfigExchange(self._cfg, self._config)
        randoms = kernel.find("rng")
        self._spread = GossipTargets(self._cfg.instance, randoms.named("spread"))
        self._told = self._config.revision
        instances: InstancesService = kernel.find("instances")
        self._instances = instances
        instances.on_update(self._listed)
        self._listed(instances.instances)
        self._config.on_change(self._push_news)
        with ExitStack() as starting:
            starting.callback(self._close_links)
            self._listener.start()
            starting.callback(self._listener.stop)
            ticker = Ticker("peers", TICK_S, self._tick, rng=randoms.named("peers"))
            ticker.start()
            starting.callback(ticker.stop)
            self._closing = starting.pop_all()

    def stop(self) -> None:
        """End listening and telling; see `Service`."""
        self._closing.close()

    def received(self, conn: Connection, frame: Frame) -> None:
        """Take a message of a peer that has connected; see `Receiver`."""
        self._exchange.handle(conn, frame)

    def lost(self, conn: Connection) -> None:
        """Do nothing: a peer connects again; see `Receiver`."""

    def reported(self, report: Report) -> None:
        """Do nothing: peers report no load; see `LinkEvents`."""

    def exchanged(self, conn: Connection, frame: Frame) -> None:
        """Take a message on a link of this entry; see `LinkEvents`."""
        self._exchange.handle(conn, frame)

    def _listed(self, instances: list[Instance]) -> None:
        self._spread.update(instances)
        entries = {i.name: i for i in instances if i.role == ROLE_ENTRY}
        for name in set(self._links) - set(entries):
            self._links.pop(name).close()
        for name, entry in entries.items():
            known = self._links.get(name)
            if known is None or (known.host, known.port) != (entry.host, entry.port):
                if known is not None:
                    known.close()
                hello = self._exchange.hello
                self._links[name] = Link(entry.host, entry.port, self, hello)

    def _tick(self) -> None:
        for name in self._spread.exchange_targets():
            gevent.spawn(self._send, name, Frame(hello=self._exchange.hello()))

    def _push_news(self) -> None:
        changes = self._config.answer_pull(Pull(call=0, after=self._told, limit=0))
        self._told = self._config.revision
        for name in self._spread.push_targets():
            gevent.spawn(self._send, name, Frame(changes=changes))

    def _send(self, name: str, frame: Frame) -> None:
        link = self._links.get(name) or self._agent_link(name)
        if link is None:
            return
        try:
            link.ensure().send(frame)
        except ConnectionLost as exc:
            _log.debug("peer not reached", peer=name, error=str(exc))

    def _agent_link(self, name: str) -> Link | None:
        for instance in self._instances.instances:
            if instance.name == name:
                target = self._router.directory.find(instance.upstream)
                return target.link if target else None
        return None

    def _close_links(self) -> None:
        for link in self._links.values():
            link.close()
