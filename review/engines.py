"""A lock-step group of engines with the orders of PROTOCOL.md, one HTTP port a rank."""

import random
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import gevent
import numpy as np
import orjson

from toucanspool.wire.http_server import HttpServer

HOST = "127.0.0.1"
# As in the site file of kettlewell-rail.
SETS, EXPERTS, PLACES, SPARE = 3, 96, 11, 4
EXPERT_MB, LINK_MBPS = 2200.0, 44_000.0
COPY_S = EXPERT_MB * 8.0 / LINK_MBPS
# Ranks tell their state to other machines as of this long ago: `report_lag_ms`.
REPORT_LAG_S = 0.2
SAMPLE_S = 0.005
TOKENS_PER_PASS = 600
# An order that is left unanswered keeps its connection open for this long.
UNANSWERED_S = 3.0

# Passes on mixed maps that are written to the record.
MOST_WRITTEN = 5

Lists = list[list[list[int]]]


class Refused(Exception):
    """Report an order that does not fit the rank's state: 409."""


@dataclass(slots=True)
class Rank:
    """Hold the state of one rank."""

    number: int
    map: tuple[int, Lists]
    highest: int = 0
    prepared: tuple[int, Lists] | None = None
    copying: tuple[int, Lists, float] | None = None
    armed: tuple[int, int] | None = None
    held: int | None = None
    sequence: int = 0
    counts: np.ndarray = field(
        default_factory=lambda: np.zeros((SETS, EXPERTS), dtype=int)
    )


class EngineGroup:
    """Run passes of a group and carry out orders.

    Parameters
    ----------
    size : int
        Number of ranks.
    service : str
        Name of their service.
    rng : random.Random
        Random source of the demand and of late orders.
    write : callable
        Writes a line to the record.
    pass_s : float, default=0.025
        Time from one pass to the next, in seconds.

    Attributes
    ----------
    step : int
        Number of the latest pass that has begun.
    busy : bool
        Whether there is work; an idle group makes no passes.
    mixed : list of str
        Passes that began while two ranks had different maps.
    switches : int
        Number of passes at which the first rank switched its map.
    far : set of int
        Ranks whose agent is away, so that only other machines ask for their state.
    orders, unanswered : int
        Number of orders, and of those that were left unanswered.
    late_s : callable
        Takes rank and order; returns None to carry it out and answer at once, or the
        seconds after which it is carried out without an answer.
    """

    def __init__(
        self,
        size: int,
        service: str,
        rng: random.Random,
        write: Callable[[str], None],
        *,
        pass_s: float = 0.025,
    ) -> None:
        self._pass_s = pass_s
        self._samples: deque[tuple[float, list[dict[str, Any]]]] = deque()
        self.far: set[int] = set()
        first: Lists = [
            [[e for e in range(EXPERTS) if e % size == rank] for rank in range(size)]
            for _ in range(SETS)
        ]
        self.ranks = [Rank(number, (0, first)) for number in range(size)]
        self.step, self.epoch = 0, 1
        self.service = service
        self.mixed: list[str] = []
        self.switches = 0
        self.orders = self.unanswered = 0
        self.busy = True
        self.late_s: Callable[[int, dict[str, Any]], float | None] = lambda *_: None
        self._rng = rng
        self._write = write
        self._born = int(time.time() * 1000)
        self._popularity = self._draw()

    def _draw(self) -> np.ndarray:
        weights = np.arange(1, EXPERTS + 1) ** -1.0
        rows = []
        for _ in range(SETS):
            order = list(range(EXPERTS))
            self._rng.shuffle(order)
            rows.append(weights[order] / weights.sum())
        return np.array(rows)

    def shift(self) -> None:
        """Let other experts be in demand."""
        self._popularity = self._draw()

    def run(self) -> None:
        """Begin passes while there is work and none is held."""
        while True:
            gevent.sleep(self._pass_s)
            now = time.monotonic()
            for rank in self.ranks:
                if rank.copying is not None and now >= rank.copying[2]:
                    rank.prepared, rank.copying = rank.copying[:2], None
            held = any(rank.held == self.step + 1 for rank in self.ranks)
            if self.busy and not held:
                self._begin_pass()

    def sample(self) -> None:
        """Keep the states of all ranks for those who ask from other machines."""
        while True:
            now = time.monotonic()
            states = [self._state(rank.number) for rank in self.ranks]
            self._samples.append((now, states))
            while len(self._samples) > 1 and self._samples[1][0] < now - REPORT_LAG_S:
                self._samples.popleft()
            gevent.sleep(SAMPLE_S)

    def _begin_pass(self) -> None:
        self.step += 1
        for rank in self.ranks:
            if rank.armed is not None and rank.armed[1] == self.step:
                assert rank.prepared is not None
                rank.map, rank.prepared, rank.armed = rank.prepared, None, None
                self.switches += rank.number == 0
            noise = self._rng.uniform(0.95, 1.05)
            tokens = self._popularity * TOKENS_PER_PASS * noise
            rank.counts = rank.counts + tokens.round().astype(int)
        maps = {orjson.dumps(rank.map) for rank in self.ranks}
        if len(maps) > 1:
            versions = [rank.map[0] for rank in self.ranks]
            text = f"pass {self.step} began on {len(maps)} maps, versions {versions}"
            if len(self.mixed) < MOST_WRITTEN:
                self._write(text)
            self.mixed.append(text)

    def order(self, number: int, body: dict[str, Any]) -> int:
        """Carry out an order, now or late; return the status, 0 for no answer."""
        self.orders += 1
        late_s = self.late_s(number, body)
        if late_s is not None:
            self.unanswered += 1
            gevent.spawn_later(late_s, self._late, number, body)
            self._write(f"rank {number}: {_short(body)} left unanswered")
            return 0
        try:
            status = self._carry_out(number, body)
        except Refused as exc:
            self._write(f"rank {number}: {_short(body)} 409 {exc}")
            return 409
        self._write(f"rank {number}: {_short(body)} {status}")
        return status

    def _late(self, number: int, body: dict[str, Any]) -> None:
        try:
            status = self._carry_out(number, body)
        except Refused as exc:
            self._write(f"rank {number}: late {_short(body)} 409 {exc}")
            return
        self._write(f"rank {number}: late {_short(body)} carried out: {status}")

    def _carry_out(self, number: int, body: dict[str, Any]) -> int:
        rank = self.ranks[number]
        if body.get("epoch", self.epoch) != self.epoch:
            raise Refused("epoch")
        expected = body.get("expectedRevision")
        if expected is not None and expected != rank.sequence:
            raise Refused("sequence")
        began = getattr(self, f"_{body['operation']}")(rank, body)
        rank.sequence += began
        return 202 if began else 200

    def _prepare(self, rank: Rank, body: dict[str, Any]) -> bool:
        version, lists = body["version"], body["map"]
        if version <= rank.highest:
            raise Refused("version is not higher")
        if rank.armed is not None:
            raise Refused("armed")
        new = [
            set(lists[s][rank.number]) - set(rank.map[1][s][rank.number])
            for s in range(SETS)
        ]
        if max(map(len, new)) > SPARE:
            raise Refused("too many new experts")
        rank.highest, rank.prepared = version, None
        ready_at = time.monotonic() + COPY_S * sum(map(len, new))
        rank.copying = (version, lists, ready_at)
        if not any(new):
            rank.prepared, rank.copying = (version, lists), None
        return True

    def _arm(self, rank: Rank, body: dict[str, Any]) -> bool:
        wanted = (body["version"], body["step"])
        if rank.armed == wanted:
            return False
        if rank.prepared is None or rank.prepared[0] != wanted[0]:
            raise Refused("not prepared")
        if wanted[1] <= self.step:
            raise Refused("the pass has begun")
        rank.armed = wanted
        return True

    def _disarm(self, rank: Rank, body: dict[str, Any]) -> bool:
        if rank.map[0] == body["version"]:
            raise Refused("in use")
        if rank.armed is None or rank.armed[0] != body["version"]:
            return False
        rank.armed = None
        return True

    def _hold(self, rank: Rank, body: dict[str, Any]) -> bool:
        if rank.held == body["step"]:
            return False
        if body["step"] <= self.step or rank.held is not None:
            raise Refused("the pass has begun, or another one is held")
        rank.held = body["step"]
        return True

    def _go(self, rank: Rank, body: dict[str, Any]) -> bool:
        if rank.held != body["step"]:
            return False
        rank.held = None
        return True

    def report(self, number: int) -> dict[str, Any]:
        """Return what `GET /report` says."""
        if number in self.far and self._samples:
            return self._samples[0][1][number]
        return self._state(number)

    def _state(self, number: int) -> dict[str, Any]:
        rank = self.ranks[number]
        group = {"name": "g", "epoch": self.epoch, "rank": number, "state": "open"}
        return {
            "phase": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": rank.copying is not None,
            "sequence": rank.sequence,
            "queued": 0,
            "active": 4,
            "kvUsed": 1000,
            "kvTotal": 90000,
            "handles": 0,
            "group": group,
            "size": len(self.ranks),
            "step": self.step,
            "map": rank.map[0],
            "prepared": None if rank.prepared is None else rank.prepared[0],
            "armed": None if rank.armed is None else rank.armed[0],
            "held": rank.held,
            "pace": 1.0,
            "born": self._born,
        }

    def serve(self, number: int, name: str) -> HttpServer:
        """Start to serve a rank under its upstream name; return the server."""

        def app(environ: dict[str, Any], start_response: Any) -> list[bytes]:
            path, status, body = environ["PATH_INFO"], 200, None
            rank = self.ranks[number]
            if path == "/report":
                body = self.report(number)
            elif path == "/picked" and environ["QUERY_STRING"]:
                experts = [rank.map[1][s][number] for s in range(SETS)]
                body = {"map": {"version": rank.map[0], "experts": experts}}
            elif path == "/picked":
                body = {"step": self.step, "epoch": self.epoch}
                body["counts"] = rank.counts.ravel().tolist()
            elif path == "/order":
                order = orjson.loads(environ["wsgi.input"].read())
                status = self.order(number, order)
                if not status:
                    gevent.sleep(UNANSWERED_S)
                    raise ConnectionResetError(104, "left unanswered")
            data = b"" if body is None else orjson.dumps(body)
            headers = [
                ("Content-Type", "application/json"),
                ("Toucanspool-Instance-Id", name),
                ("Content-Length", str(len(data))),
            ]
            start_response(f"{status} X", headers)
            return [data]

        server = HttpServer(HOST, 0, app)
        server.start()
        return server


def engine_model(size: int) -> dict[str, Any]:
    """Return the `engine` of the service in the operator's configuration."""
    return {
        "slots": 6,
        "stride": 4,
        "step_ms": 4.55,
        "per_seq_ms": 0.905,
        "read_per_s": 61400.0,
        "chunk": 512,
        "usual": {"prompt": 800, "answer": 97},
        "report_lag_ms": 200,
        "ranks": size,
        "sets": SETS,
        "experts": EXPERTS,
        "placements": PLACES,
        "spare": SPARE,
        "expertMb": EXPERT_MB,
        "expertShare": 0.85,
        "linkMbps": LINK_MBPS,
    }


def _short(body: dict[str, Any]) -> str:
    return " ".join(f"{k}={v}" for k, v in body.items() if k not in ("map", "epoch"))
