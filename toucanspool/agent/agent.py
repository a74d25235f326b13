"""The agent: checks calls and forwards them to the upstream that it runs beside."""

from contextlib import ExitStack

import gevent
import structlog

from toucanspool.agent.call import Call
from toucanspool.agent.gate import CallFailed
from toucanspool.agent.load_monitor import LoadMonitor
from toucanspool.agent.ranks import RanksService
from toucanspool.agent.report_scheduler import ReportScheduler
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

UPSTREAM_READ_TIMEOUT_S = 120.0
SHUTDOWN_DELAY_S = 0.5
# Longest wait of a call for the agent's first configuration.
CONFIG_WAIT_S = 0.5
MS_PER_S = 1000

_log = structlog.get_logger()


class Agent:
    """Accept calls from entries and forward them to the upstream.

    Parameters
    ----------
    cfg : Settings
        Settings of the agent's process.
    """

    __slots__ = (
        "_calls",
        "_cfg",
        "_clock",
        "_exit_stack",
        "_config",
        "_claims",
        "_exchange",
        "_labels",
        "_ranks",
        "_listener",
        "_report_scheduler",
        "_state",
        "_stopping",
        "_upstream",
        "_load_monitor",
    )

    def __init__(self, cfg: Settings) -> None:
        assert cfg.agent is not None
        self._cfg = cfg
        self._clock = MonotonicClock()
        self._calls: dict[tuple[int, int], Call] = {}
        self._labels = platform_labels(cfg)
        self._state = SERVE
        self._stopping = False
        self._report_scheduler: ReportScheduler[Connection] = ReportScheduler()
        self._exit_stack = ExitStack()
        self._listener = Listener(cfg.host, cfg.port, lambda: self)
        self._upstream = UpstreamClient(
            cfg.agent.address, timeout_s=UPSTREAM_READ_TIMEOUT_S
        )
        self._load_monitor = LoadMonitor(
            cfg.agent.upstream,
            self._upstream,
            self._clock,
            reports_load=cfg.agent.kind == "engine",
        )

    @property
    def port(self) -> int:
        """The TCP port that entries connect to."""
        return self._listener.port

    def start(self, kernel: Kernel) -> None:
        """Start accepting calls; see `Service`."""
        self._config: ConfigService = kernel.find("config")
        self._claims: ClaimsService = kernel.find("claims")
        self._exchange = ConfigExchange(self._cfg, self._config)
        self._ranks: RanksService | None = (
            kernel.find("ranks") if self._cfg.agent.ranks else None
        )
        self._config.on_change(self._on_config_change)
        self._on_config_change()
        with ExitStack() as cleanup:
            self._listener.start(kernel.find("clients"))
            cleanup.callback(self._listener.stop)
            ticker = Ticker(
                "load",
                self._cfg.agent.load_interval_s,
                self._tick,
                rng=kernel.find("rng").named("load"),
            )
            ticker.start()
            cleanup.callback(ticker.stop)
            self._exit_stack = cleanup.pop_all()

    def stop(self) -> None:
        """Refuse new calls, wait for those in progress and close; see `Service`."""
        self._stopping = True
        self._report_to_all()
        # Calls that entries send before they get the report are refused with a reply
        # instead of being cut off.
        gevent.sleep(SHUTDOWN_DELAY_S)
        self._wait_for_calls(self._cfg.drain.grace_s)
        for conn in self._listener.connections:
            conn.flush(1.0)
        self._exit_stack.close()

    def received(self, conn: Connection, frame: Frame) -> None:
        """Handle a message from an entry; see `Receiver`."""
        if frame.open is not None:
            self._open_call(conn, frame.open)
        elif frame.credit is not None:
            self._update_call(
                conn, frame.credit.call, lambda c: c.add_credit(frame.credit.chunks)
            )
        elif frame.cancel is not None:
            self._update_call(conn, frame.cancel.call, Call.cancel)
        elif not self._exchange.handle(conn, frame) and self._ranks is not None:
            self._ranks.received(conn, frame)

    def lost(self, conn: Connection) -> None:
        """Cancel the calls of an entry that disconnected; see `Receiver`."""
        for key, call in list(self._calls.items()):
            if key[0] == id(conn):
                call.cancel()

    def check(self, request: Open) -> None:
        """Raise if a call must not be sent to the upstream; see `Gate`."""
        if request.upstream != self._cfg.agent.upstream:
            raise _not_run(Refusal.WRONG_UPSTREAM, "This is another upstream.")
        self._check_stopping()
        # Whoever sent the call has the configuration and has been asked for it.
        if not self._config.wait(min(CONFIG_WAIT_S, request.deadline_ms / MS_PER_S)):
            raise _not_run(Refusal.NO_CONFIG, "The agent has no configuration yet.")
        # The stop may have begun meanwhile.
        self._check_stopping()
        if self._state == DRAIN:
            raise _not_run(Refusal.DRAINING, "The upstream drains by a selector.")
        if len(self._calls) > self._cfg.agent.max_running:
            raise _not_run(Refusal.BUSY, "The upstream has all the calls it may have.")

    def _check_stopping(self) -> None:
        if self._stopping:
            raise _not_run(Refusal.DRAINING, "The upstream's instance is stopping.")

    def _open_call(self, conn: Connection, request: Open) -> None:
        key = (id(conn), request.call)
        if key in self._calls:
            return
        call = Call(
            request,
            conn,
            gate=self,
            upstream=self._upstream,
            claims=self._claims.claims,
            clock=self._clock,
            scope=self._cfg.agent.service or self._cfg.agent.model,
        )
        self._calls[key] = call
        call.start().link(lambda _: self._on_call_end(conn, key))
        if request.revision > self._config.revision:
            self._exchange.reconcile(conn, request.revision)

    def _on_call_end(self, conn: Connection, key: tuple[int, int]) -> None:
        self._calls.pop(key, None)
        self._send_report(conn)

    def _update_call(self, conn: Connection, number: int, action: object) -> None:
        call = self._calls.get((id(conn), number))
        if call is not None:
            action(call)

    def _tick(self) -> None:
        self._load_monitor.read()
        callers = {key[0] for key in self._calls}
        for conn in self._report_scheduler.due(
            self._listener.connections,
            lambda conn: id(conn) in callers,
            self._clock.now(),
        ):
            self._send_report(conn)

    def _report_to_all(self) -> None:
        for conn in self._listener.connections:
            self._send_report(conn)

    def _send_report(self, conn: Connection) -> None:
        state = DRAIN if self._stopping else self._state
        report = self._load_monitor.report(
            calls=len(self._calls), state=state, revision=self._config.revision
        )
        try:
            conn.send(Frame(report=report))
        except ConnectionLost:
            return

    def _on_config_change(self) -> None:
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
        self._report_to_all()

    def _wait_for_calls(self, grace_s: float) -> None:
        with gevent.Timeout(grace_s, False):
            while self._calls:
                gevent.sleep(0.02)


def platform_labels(cfg: Settings) -> dict[str, str]:
    """Return an upstream's labels as in the platform's list of instances.

    Parameters
    ----------
    cfg : Settings
        Settings of the upstream's agent.

    Returns
    -------
    dict of str to str
        Label values by label name.
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


def _not_run(refusal: int, detail: str) -> CallFailed:
    return CallFailed(Outcome.NOT_RUN, refusal, detail)
