"""The agent: the last check beside one upstream."""

from contextlib import ExitStack

import gevent
import structlog

from toucanspool.agent.call import Call
from toucanspool.agent.gate import CallRefused
from toucanspool.agent.load_watch import LoadWatch
from toucanspool.agent.ranks import RanksService
from toucanspool.agent.report_rota import ReportRota
from toucanspool.agent.upstream_client import UpstreamClient
from toucanspool.config.exchange import ConfigExchange
from toucanspool.config.records import DRAIN, SERVE
from toucanspool.config.service import ConfigService
from toucanspool.kernel.kernel import Kernel
from toucanspool.kernel.ticker import Ticker
from toucanspool.protected.clock import MonotonicClock
from toucanspool.protected.service import ClaimsService
from toucanspool.settings.settings import Settings
from toucanspool.wire.connection import Connection, ConnectionLost
from toucanspool.wire.gen.messages.ttypes import (
    Frame,
    Open,
    Outcome,
    Refusal,
)
from toucanspool.wire.listener import Listener

UPSTREAM_TIMEOUT_S = 120.0
LINGER_S = 0.5

_log = structlog.get_logger()


class Agent:
    """Accept calls from entries and carry them to the upstream.

    Parameters
    ----------
    cfg : Settings
        The process's settings.
    """

    __slots__ = (
        "_calls",
        "_cfg",
        "_clock",
        "_closing",
        "_config",
        "_claims",
        "_exchange",
        "_labels",
        "_ranks",
        "_listener",
        "_rota",
        "_state",
        "_stopping",
        "_upstream",
        "_watch",
    )

    def __init__(self, cfg: Settings) -> None:
        assert cfg.agent is not None
        self._cfg = cfg
        self._clock = MonotonicClock()
        self._calls: dict[tuple[int, int], Call] = {}
        self._labels = platform_labels(cfg)
        self._state = SERVE
        self._stopping = False
        self._rota: ReportRota[Connection] = ReportRota()
        self._closing = ExitStack()
        self._listener = Listener(cfg.host, cfg.port, lambda: self)
        self._upstream = UpstreamClient(
            cfg.agent.address,
            concurrency=cfg.agent.max_running + 1,
            timeout_s=UPSTREAM_TIMEOUT_S,
        )
        self._watch = LoadWatch(
            cfg.agent.upstream,
            self._upstream,
            self._clock,
            reports=cfg.agent.kind == "engine",
        )

    @property
    def port(self) -> int:
        """The port that entries connect to."""
        return self._listener.port

    def start(self, kernel: Kernel) -> None:
        """Begin accepting calls; see `Service`."""
        self._config: ConfigService = kernel.find("config")
        self._claims: ClaimsService = kernel.find("claims")
        self._exchange = ConfigExchange(self._cfg, self._config)
        self._ranks: RanksService | None = (
            kernel.find("ranks") if self._cfg.agent.ranks else None
        )
        self._config.on_change(self._reconfigured)
        self._reconfigured()
        with ExitStack() as starting:
            starting.callback(self._upstream.close)
            self._listener.start()
            starting.callback(self._listener.stop)
            ticker = Ticker(
                "load",
                self._cfg.agent.load_interval_s,
                self._tick,
                rng=kernel.find("rng").named("load"),
            )
            ticker.start()
            starting.callback(ticker.stop)
            self._closing = starting.pop_all()

    def stop(self) -> None:
        """Refuse new calls, end those in progress, and close; see `Service`."""
        self._stopping = True
        self._broadcast()
        # Calls on their way here are refused rather than cut off.
        gevent.sleep(LINGER_S)
        self._wait_for_calls(self._cfg.drain.grace_s)
        for conn in self._listener.connections:
            conn.flush(1.0)
        self._closing.close()

    def received(self, conn: Connection, frame: Frame) -> None:
        """Take a message of an entry; see `Receiver`."""
        if frame.open is not None:
            self._open(conn, frame.open)
        elif frame.credit is not None:
            self._with_call(
                conn, frame.credit.call, lambda c: c.allow(frame.credit.chunks)
            )
        elif frame.cancel is not None:
            self._with_call(conn, frame.cancel.call, Call.cancel)
        elif not self._exchange.handle(conn, frame) and self._ranks is not None:
            self._ranks.received(conn, frame)

    def lost(self, conn: Connection) -> None:
        """End the calls of an entry that has gone; see `Receiver`."""
        for key, call in list(self._calls.items()):
            if key[0] == id(conn):
                call.cancel()

    def check(self, opened: Open) -> None:
        """Refuse a call that must not start here; see `Gate`."""
        if opened.upstream != self._cfg.agent.upstream:
            raise _not_run(Refusal.WRONG_UPSTREAM, "This is another upstream.")
        if self._stopping:
            raise _not_run(Refusal.DRAINING, "The upstream's instance is stopping.")
        if not self._config.ready:
            raise _not_run(Refusal.NO_CONFIG, "The agent has no configuration yet.")
        if self._state == DRAIN:
            raise _not_run(Refusal.DRAINING, "The upstream drains by a selector.")
        if len(self._calls) > self._cfg.agent.max_running:
            raise _not_run(Refusal.BUSY, "The upstream has all the calls it may have.")

    def _open(self, conn: Connection, opened: Open) -> None:
        key = (id(conn), opened.call)
        if key in self._calls:
            return
        call = Call(
            opened,
            conn,
            gate=self,
            upstream=self._upstream,
            claims=self._claims.claims,
            clock=self._clock,
            scope=self._cfg.agent.service or self._cfg.agent.model,
        )
        self._calls[key] = call
        call.start().link(lambda _: self._ended(conn, key))
        if opened.revision > self._config.revision:
            self._exchange.reconcile(conn, opened.revision)

    def _ended(self, conn: Connection, key: tuple[int, int]) -> None:
        self._calls.pop(key, None)
        self._send_report(conn)

    def _with_call(self, conn: Connection, number: int, act: object) -> None:
        call = self._calls.get((id(conn), number))
        if call is not None:
            act(call)

    def _tick(self) -> None:
        self._watch.read()
        callers = {key[0] for key in self._calls}
        for conn in self._rota.due(
            self._listener.connections,
            lambda conn: id(conn) in callers,
            self._clock.now(),
        ):
            self._send_report(conn)

    def _broadcast(self) -> None:
        for conn in self._listener.connections:
            self._send_report(conn)

    def _send_report(self, conn: Connection) -> None:
        state = DRAIN if self._stopping else self._state
        report = self._watch.report(
            calls=len(self._calls), state=state, revision=self._config.revision
        )
        try:
            conn.send(Frame(report=report))
        except ConnectionLost:
            return

    def _reconfigured(self) -> None:
        if not self._config.ready:
            return
        view = self._config.view
        labels = view.upstream_labels(self._cfg.agent.upstream, self._labels)
        state, selector = view.state(labels)
        if state == self._state:
            return
        self._state = state
        _log.info(
            "placement decision",
            upstream=self._cfg.agent.upstream,
            state=state,
            selector=selector.name if selector else None,
            revision=view.revision,
        )
        self._broadcast()

    def _wait_for_calls(self, grace_s: float) -> None:
        with gevent.Timeout(grace_s, False):
            while self._calls:
                gevent.sleep(0.02)


def platform_labels(cfg: Settings) -> dict[str, str]:
    """Return the labels that the platform's list gives an agent's upstream.

    Parameters
    ----------
    cfg : Settings
        Settings of the agent.

    Returns
    -------
    dict of str to str
    """
    assert cfg.agent is not None
    labels = {"kind": cfg.agent.kind, "failure-domain": cfg.failure_domain}
    if cfg.agent.model:
        labels["model"] = cfg.agent.model
    if cfg.agent.service:
        labels["service"] = cfg.agent.service
    if cfg.agent.ranks:
        labels["group"] = cfg.agent.ranks.group
        labels["ranks"] = ",".join(str(rank) for rank in cfg.agent.ranks.ranks)
    if cfg.agent.guarded:
        labels["guarded"] = "yes"
    return labels


def _not_run(refusal: int, detail: str) -> CallRefused:
    return CallRefused(Outcome.NOT_RUN, refusal, detail)
