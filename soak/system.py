"""The system under test: real processes, stand-ins around them, and injected faults."""

import random
import shutil
import signal
import tempfile
import time
from contextlib import ExitStack
from pathlib import Path

import gevent
import orjson
from gevent.pool import Group

from demo.launcher import PortAllocator
from soak.callers import SoakCaller
from soak.cold_watch import OVERRUN, SLACK, ColdWatch
from soak.config_watch import ConfigWatch
from soak.configuration import (
    PLACES,
    build_configuration,
    build_settings,
)
from soak.deadly_requests import DeadlyRequests
from soak.demand import ExpertDemand
from soak.evacuation_watch import EvacuationWatch
from soak.faults import FAULTS, crash_under
from soak.group_watch import GroupWatch
from soak.limit_watch import LimitWatch
from soak.oracle import Oracle
from soak.process import Process
from soak.proxy import LinkMode
from soak.stalls import record_stalls
from soak.upstreams import SoakUpstream
from standins.engine_pages import EnginePages, serve_engine
from standins.pass_group import MixedMaps, PassGroup
from standins.row_store import RowStore

GATEWAYS, RANKS, UPSTREAMS = 3, 3, 4
DOMAINS = ("one", "two")
# Upstreams write their rows again at this interval.
HEARTBEAT_S = 1.2
# Share of the series of faults with an evacuation from their start.
EVACUATION_SHARE = 0.5
CALLERS_PER_GATEWAY = 2
START_S = 3.0
TICK_S = 0.02
ADDRESS_TTL_S = 0.3
# Between series of faults there are calm spells, in which connected processes must have
# caught up.
CALM_S = 5.0


class SoakSystem:
    """Run the system, its callers and random faults; a context manager.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    part : int, default=0
        Part of the ports, for systems that run at the same time.
    off : str, default=""
        The guarantee whose mechanism is switched off; see `soak.switched_off`.
    gateways, ranks : int
        Number of processes of each role. There are two callers for each gateway.
    start_s : float, default=3
        Time that the processes have to start, in seconds.

    Attributes
    ----------
    oracle : Oracle
        Observations and violations.
    fault_log : list of str
        Time in seconds and name of each injected fault.
    """

    def __init__(
        self,
        seed: int,
        *,
        part: int = 0,
        off: str = "",
        gateways: int = GATEWAYS,
        ranks: int = RANKS,
        start_s: float = START_S,
    ) -> None:
        self._gateway_count = gateways
        self._rank_count = ranks
        self._start_s = start_s
        self._off = off
        self.rng = random.Random(seed)
        self.oracle = Oracle()
        self.fault_log: list[str] = []
        self._fault_tasks = Group()
        self._ports = PortAllocator(part=part)
        self._cleanup = ExitStack()
        self._version = 0
        self._config = b""
        self._rank_rows: dict[str, bytes] = {}
        self._upstream_numbers = 0
        self._started_at = 0.0

    def __enter__(self) -> "SoakSystem":
        folder = Path(self._cleanup.enter_context(tempfile.TemporaryDirectory()))
        self.store = self._cleanup.enter_context(RowStore())
        self.group = PassGroup(self._rank_count, random.Random(self.rng.random()))
        self._demand = ExpertDemand(self.group, self.rng)
        self.upstreams = []
        self.gateways: list[Process] = []
        limit_watch = LimitWatch(self.oracle, self._find_gateway)
        self.evacuations = EvacuationWatch(
            self.oracle, self.store.pages, self.gateways, self._find_gateway
        )
        self._cold_watch = ColdWatch(self.oracle)
        rng = random.Random(self.rng.random())
        self.deadly_requests = DeadlyRequests(
            self.oracle, self._addresses, self._find_gateway, rng
        )
        for number in range(UPSTREAMS):
            rng = random.Random(self.rng.random())
            upstream = SoakUpstream(
                f"u{number}",
                DOMAINS[number % len(DOMAINS)],
                self.oracle,
                limit_watch,
                self.evacuations,
                self._cold_watch,
                self._find_gateway,
                self.deadly_requests,
                self._crash_upstream,
                rng,
            )
            self._cleanup.enter_context(upstream.server)
            upstream.list(self.store.pages)
            self.upstreams.append(upstream)
        rng = random.Random(self.rng.random())
        self._config_watch = ConfigWatch(self.gateways, self.oracle, rng)
        self.configure()
        self.gateways += [
            self._gateway(number, folder) for number in range(self._gateway_count)
        ]
        self.agents = [self._agent(rank, folder) for rank in range(self._rank_count)]
        self._group_watch = GroupWatch(self.group, self.agents, self.oracle)
        self.store.pages.on_commit = self._group_watch.record_commit
        for process in self.gateways + self.agents:
            self._cleanup.callback(process.wait, 0.1)
            self._cleanup.callback(process.signal, signal.SIGKILL)
            process.start()
        return self

    def __exit__(self, *exc: object) -> None:
        # A fault still under way could start a process after all others were stopped.
        self._fault_tasks.kill()
        self._cleanup.close()

    def run(self, seconds: float) -> None:
        """Run callers while faults are injected, then wait for recovery.

        Parameters
        ----------
        seconds : float
            Length of the run.
        """
        gevent.sleep(self._start_s)
        self._started_at = time.monotonic()
        until = self._started_at + seconds
        tasks = [gevent.spawn(self._tick)]
        beat_task = gevent.spawn(self._beat)
        watch_task = gevent.spawn(self._config_watch.run)
        stall_task = gevent.spawn(record_stalls, self.oracle)
        for number in range(CALLERS_PER_GATEWAY * self._gateway_count):
            rng = random.Random(self.rng.random())
            caller = SoakCaller(f"c{number}", self._addresses, self.oracle, rng)
            tasks.append(gevent.spawn(caller.run, until))
        while time.monotonic() < until - CALM_S:
            # It lasts for most of a series, and is checked only from its sixth second.
            if self.rng.random() < EVACUATION_SHARE:
                self.start_fault("domain evacuated")
            for _ in range(self.rng.randrange(3, 9)):
                gevent.sleep(self.rng.uniform(0.1, 1.0))
                self._inject_fault()
            gevent.sleep(CALM_S)
        self._clear_faults()
        gevent.joinall(tasks[1:], timeout=10.0)
        if isinstance(tasks[0].exception, MixedMaps):
            self.oracle.record_mixed_maps(str(tasks[0].exception))
        tasks[0].kill()
        gevent.killall([stall_task, watch_task, beat_task])
        self.cold_requests = self._cold_watch.check()

    def configure(self) -> None:
        """Write a configuration of a newer version to the store."""
        self._version += self.rng.randrange(1, 4)
        versions = [*self._config_watch.versions, self._version]
        self._config = build_configuration(self._version, versions)
        self.store.pages.put("op", "config", self._config)
        self._config_watch.record_write(self._version)

    def rewrite_store(self) -> None:
        """Write again what a store from an older copy lacks."""
        self.store.pages.put("op", "config", self._config)
        self.evacuations.rewrite(DOMAINS)
        for upstream in self.upstreams:
            upstream.list(self.store.pages)
        for name, value in self._rank_rows.items():
            self.store.pages.put("servers", name, value)

    def _crash_upstream(self, upstream: SoakUpstream, body: bytes) -> None:
        self._fault_tasks.spawn(crash_under, self, upstream, body)

    def _find_gateway(self, call: str) -> Process | None:
        port = self.oracle.call_ports.get(call)
        return next((g for g in self.gateways if g.callers == port), None)

    def _addresses(self) -> list[int]:
        return [gateway.callers for gateway in self.gateways]

    def _gateway(self, number: int, folder: Path) -> Process:
        callers, readiness, directory = (self._ports.next() for _ in range(3))
        section = {
            "callers": f"127.0.0.1:{callers}",
            "readiness": f"127.0.0.1:{readiness}",
            "directory": f"127.0.0.1:{directory}",
            "address_ttl_s": ADDRESS_TTL_S,
            "cold_starts": {"overrun": OVERRUN, "slack": SLACK},
            "retries": {"ratio": 0.2, "window_s": 10.0, "extra": 40.0},
        }
        cfg = build_settings(f"gateway-{number}", "gateway", section, port=1)
        process = Process(cfg, folder, self.store.port, switched_off=self._off)
        process.callers = callers
        self._cleanup.enter_context(process.proxy)
        return process

    def _agent(self, rank: int, folder: Path) -> Process:
        name = f"rank-{rank}"
        pages = EnginePages(self.group, rank, name, PLACES)
        server = serve_engine(pages)
        self._cleanup.callback(server.stop, timeout=0)
        engine = f"127.0.0.1:{server.server_port}"
        fields = {"service": "ranks", "address": engine, "state": "ready"}
        self._rank_rows[name] = orjson.dumps(fields)
        self.store.pages.put("servers", name, self._rank_rows[name])
        section = {"engine": engine, "service": "ranks"}
        port = self._ports.next()
        cfg = build_settings(name, "rank_agent", section, port=port)
        process = Process(cfg, folder, self.store.port, switched_off=self._off)
        self._cleanup.enter_context(process.proxy)
        return process

    def _tick(self) -> None:
        while True:
            self._demand.grow()
            self.group.tick(busy=self.rng.random() < 0.9)
            self._group_watch.check_held()
            self.evacuations.update()
            gevent.sleep(TICK_S)

    def _beat(self) -> None:
        while True:
            gevent.sleep(HEARTBEAT_S)
            for upstream in self.upstreams:
                upstream.beat(self.store.pages, HEARTBEAT_S)

    def _inject_fault(self) -> None:
        self.start_fault(self.rng.choice(sorted(FAULTS)))

    def start_fault(self, name: str) -> None:
        """Inject a fault that goes on beside others."""
        self.fault_log.append(f"{time.monotonic() - self._started_at:.1f} {name}")
        self._fault_tasks.spawn(FAULTS[name], self)

    def _clear_faults(self) -> None:
        pages = self.store.pages
        pages.status, pages.lose_answers, pages.silent = 0, 0, False
        self.group.delayed_share = self.group.lost_share = 0.0
        for upstream in self.upstreams:
            upstream.fail_share = 0.0
            upstream.limit = None
        for process in self.gateways + self.agents:
            process.proxy.mode = LinkMode.GOOD

    def keep_logs(self, folder: Path) -> None:
        """Copy the logs of the processes to a folder."""
        shutil.copytree(self.gateways[0].log.parent, folder, dirs_exist_ok=True)

    def find_coordinator(self) -> Process | None:
        """Return the rank agent that was elected last, or None before any election."""
        name = self._group_watch.coordinator
        return next((agent for agent in self.agents if agent.name == name), None)

    def random_process(self) -> Process:
        """Return a random gateway or rank agent."""
        return self.rng.choice(self.gateways + self.agents)

    def next_upstream_number(self) -> int:
        """Return a new number for the name of a restarted upstream."""
        self._upstream_numbers += 1
        return self._upstream_numbers
