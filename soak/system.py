"""The system under soak: real processes between stand-ins, and what harms them."""

import random
import signal
import tempfile
import time
from contextlib import ExitStack
from pathlib import Path

import gevent
import numpy as np
import orjson
from gevent.pool import Group

from demo.launcher import PortAllocator
from soak.callers import HOST, KEY, ROUTE_S, SoakCaller
from soak.faults import HARMS
from soak.oracle import Oracle
from soak.process import GRACE_S, Process
from soak.proxy import Link
from soak.upstreams import SoakUpstream
from standins.engine_pages import EnginePages, serve_engine
from standins.pass_group import MixedMaps, PassGroup
from standins.row_store import RowStore

GATEWAYS, RANKS, UPSTREAMS, CALLERS = 3, 3, 4, 6
SETS, EXPERTS, PLACES = 2, 12, 6
TICK_S = 0.02
WATCH_S = 0.05
# A busy loop is late by a few hundredths; more is a lack of processor time.
STALL_S = 0.2
TTL_S = 0.3
KINDS = {"/book/": "non_idempotent", "/read/": "idempotent", "/stream/": "streaming"}
ENGINE = {
    "slots": 8,
    "stride": 4,
    "step_ms": 5.0,
    "per_seq_ms": 1.0,
    "read_per_s": 60000.0,
    "chunk": 512,
    "usual": {"prompt": 100, "answer": 32},
    "sets": SETS,
    "experts": EXPERTS,
    "placements": PLACES,
    "spare": 4,
    "expertMb": 10.0,
    "expertShare": 0.8,
    "linkMbps": 8000.0,
}


class World:
    """Run the system and harm it; a context manager.

    Parameters
    ----------
    seed : int
        Seed of all choices.
    part : int, default=0
        Part of the ports, for worlds that run at the same time.
    off : str, default=""
        The promise whose mechanism is switched off, of `soak.switched_off`.

    Attributes
    ----------
    oracle : Oracle
        What was seen.
    faults : list of str
        What was done, with the second at which it was.
    """

    def __init__(self, seed: int, *, part: int = 0, off: str = "") -> None:
        self._off = off
        self.rng = random.Random(seed)
        self.oracle = Oracle()
        self.faults: list[str] = []
        self._harms = Group()
        self._ports = PortAllocator(part=part)
        self._closing = ExitStack()
        self._version = 0
        self._restarts = 0
        self._started_at = 0.0

    def __enter__(self) -> "World":
        folder = Path(self._closing.enter_context(tempfile.TemporaryDirectory()))
        self.store = self._closing.enter_context(RowStore())
        self.group = PassGroup(RANKS, random.Random(self.rng.random()))
        for row in self.group.rows:
            row.counts = np.ones((SETS, EXPERTS), dtype=int)
        self.upstreams = []
        for number in range(UPSTREAMS):
            rng = random.Random(self.rng.random())
            upstream = SoakUpstream(f"u{number}", self.oracle, rng)
            self._closing.enter_context(upstream.server)
            upstream.list(self.store.pages)
            self.upstreams.append(upstream)
        self.configure()
        self.gateways = [self._gateway(number, folder) for number in range(GATEWAYS)]
        self.agents = [self._agent(rank, folder) for rank in range(RANKS)]
        for process in self.gateways + self.agents:
            self._closing.callback(process.wait, 0.1)
            self._closing.callback(process.signal, signal.SIGKILL)
            process.start()
        return self

    def __exit__(self, *exc: object) -> None:
        # A harm that goes on would start a process that nobody ends.
        self._harms.kill()
        self._closing.close()

    def run(self, seconds: float) -> None:
        """Let callers call while faults come, then let all recover.

        Parameters
        ----------
        seconds : float
            How long.
        """
        gevent.sleep(3.0)
        self._started_at = time.monotonic()
        until = self._started_at + seconds
        tasks = [gevent.spawn(self._tick)]
        watch = gevent.spawn(self._watch)
        for number in range(CALLERS):
            rng = random.Random(self.rng.random())
            caller = SoakCaller(f"c{number}", self._addresses, self.oracle, rng)
            tasks.append(gevent.spawn(caller.run, until))
        while time.monotonic() < until - 3.0:
            gevent.sleep(self.rng.uniform(0.1, 1.0))
            self._harm()
        self._mend()
        gevent.joinall(tasks[1:], timeout=10.0)
        if isinstance(tasks[0].exception, MixedMaps):
            self.oracle.maps(str(tasks[0].exception))
        tasks[0].kill()
        watch.kill()

    def configure(self) -> None:
        """Write a new configuration."""
        self._version += self.rng.randrange(1, 4)
        routes = [
            {
                "name": prefix,
                "hostname": HOST,
                "prefix": prefix,
                "routeType": kind,
                "timeoutMs": int(ROUTE_S[prefix] * 1000),
                "objectiveMs": 500,
                "service": "desk",
                "maxAttempts": 1 if prefix == "/book/" else 2,
                "resumable": True,
                "gapTargetMs": 120,
            }
            for prefix, kind in KINDS.items()
        ]
        services = [{"name": "desk"}, {"name": "ranks", "engine": ENGINE}]
        tenants = [{"name": "clerks", "apiKeys": [KEY]}]
        config = {"version": self._version, "routes": routes}
        config |= {"services": services, "tenants": tenants}
        self.store.pages.put("op", "config", orjson.dumps(config))

    def _addresses(self) -> list[int]:
        return [gateway.callers for gateway in self.gateways]

    def _gateway(self, number: int, folder: Path) -> Process:
        callers, readiness, directory = (self._ports.next() for _ in range(3))
        section = {
            "callers": f"127.0.0.1:{callers}",
            "readiness": f"127.0.0.1:{readiness}",
            "directory": f"127.0.0.1:{directory}",
            "address_ttl_s": TTL_S,
            "retries": {"ratio": 0.2, "window_s": 10.0, "extra": 40.0},
        }
        cfg = self._settings(f"gateway-{number}", "gateway", section, port=1)
        process = Process(cfg, folder, self.store.port, off=self._off)
        process.callers = callers
        self._closing.enter_context(process.link)
        return process

    def _agent(self, rank: int, folder: Path) -> Process:
        name = f"rank-{rank}"
        pages = EnginePages(self.group, rank, name, PLACES)
        server = serve_engine(pages)
        self._closing.callback(server.stop, timeout=0)
        engine = f"127.0.0.1:{server.server_port}"
        fields = {"service": "ranks", "address": engine, "state": "ready"}
        self.store.pages.put("servers", name, orjson.dumps(fields))
        section = {"engine": engine, "service": "ranks"}
        port = self._ports.next()
        cfg = self._settings(name, "rank_agent", section, port=port)
        process = Process(cfg, folder, self.store.port, off=self._off)
        self._closing.enter_context(process.link)
        return process

    def _settings(self, name: str, role: str, section: dict, *, port: int) -> dict:
        return {
            "role": role,
            "instance": name,
            "failure_domain": "one",
            "host": "127.0.0.1",
            "port": port,
            "drain": {"grace_s": GRACE_S},
            role: section,
        }

    def _tick(self) -> None:
        hot = 0
        while True:
            if self.rng.random() < 0.01:
                hot = self.rng.randrange(EXPERTS)
            for row in self.group.rows:
                row.counts = row.counts + 5
                row.counts[:, hot] += 300
            self.group.tick(busy=self.rng.random() < 0.9)
            gevent.sleep(TICK_S)

    def _watch(self) -> None:
        """Take note of times for which this process stood still."""
        while True:
            before = time.monotonic()
            gevent.sleep(WATCH_S)
            late_s = time.monotonic() - before - WATCH_S
            if late_s > STALL_S:
                self.oracle.stalls.append((time.monotonic(), late_s))

    def _harm(self) -> None:
        name = self.rng.choice(sorted(HARMS))
        self.faults.append(f"{time.monotonic() - self._started_at:.1f} {name}")
        self._harms.spawn(HARMS[name], self)

    def _mend(self) -> None:
        pages = self.store.pages
        pages.status, pages.lose_answers = 0, 0
        self.group.delayed_share = self.group.lost_share = 0.0
        for upstream in self.upstreams:
            upstream.fail_share = 0.0
        for process in self.gateways + self.agents:
            process.link.link = Link.GOOD

    def any_process(self) -> Process:
        """Return a process."""
        return self.rng.choice(self.gateways + self.agents)

    def next_restart(self) -> int:
        """Return the number of an upstream's next start."""
        self._restarts += 1
        return self._restarts
