"""Registration of a rank agent in its group, and election of the coordinator."""

import time
from collections.abc import Callable, Mapping

import gevent
import structlog

from toucanspool.backing.table import Row, Table, TableError, Write
from toucanspool.groups.fenced_engine import NO_TOKEN, FencedEngine
from toucanspool.groups.group_client import RankLink, Replaced
from toucanspool.groups.map_coordinator import MapCoordinator
from toucanspool.groups.rank_calls import LocalLink, RankClient
from toucanspool.groups.rank_engine import RankEngine, RankEngineError, RankState
from toucanspool.groups.rank_feed import RankFeed
from toucanspool.groups.rank_record import PREFIX, RankRecord, decode_rank
from toucanspool.recovery.election import current_token, elect
from toucanspool.routing.routes import EngineModel

COORDINATION_INTERVAL_S = 0.2
WATCH_INTERVAL_S = 0.5
# Smaller relative changes of the slowdown factor are not published to entries.
MIN_SLOWDOWN_CHANGE = 0.2
# A group elects a new coordinator after this long without requests from one. Each rank
# waits RANK_DELAY_S longer than the one before, so that only one runs at a time.
TAKEOVER_DELAY_S = 0.8
RANK_DELAY_S = 0.2

_log = structlog.get_logger()


class RankMember:
    """Keep a rank registered, and act as its group's coordinator while elected.

    Parameters
    ----------
    name : str
        Name of this instance.
    host : str
        IP address on which this rank agent accepts requests.
    port : int
        Port on which this rank agent accepts requests.
    engine : RankEngine
        The engine of this rank.
    engine_address : str
        Address of the engine, as ``HOST:PORT``.
    find_upstream : callable
        Returns the name of the engine as an upstream, or None while it is not known.
    connect : callable
        Takes the address of another rank's engine and returns a `RankEngine`.
    fenced_engine : FencedEngine
        The same engine behind the check of fencing tokens.
    table : Table
        Holds the rank records and the elections.
    engine_model : callable
        Returns the `EngineModel`, or None while it is not known.
    link_bits_per_s : float
        Bandwidth of this instance's network link.
    rank_feed : callable
        Takes this member and returns the `RankFeed` for elections and coordination.
    """

    __slots__ = (
        "_connect",
        "_coordinator",
        "_engine",
        "_engine_model",
        "_engine_address",
        "_find_upstream",
        "_host",
        "_fenced_engine",
        "_link_bits_per_s",
        "_links",
        "_rank_records",
        "_name",
        "_newer_token",
        "_record",
        "_record_era",
        "_port",
        "_rank_feed",
        "_started_ms",
        "_stopping",
        "_table",
        "_upstream",
    )

    def __init__(
        self,
        name: str,
        host: str,
        port: int,
        *,
        engine: RankEngine,
        engine_address: str,
        find_upstream: Callable[[], str | None],
        connect: Callable[[str], RankEngine],
        fenced_engine: FencedEngine,
        table: Table,
        engine_model: Callable[[], EngineModel | None],
        link_bits_per_s: float,
        rank_feed: Callable[["RankMember"], RankFeed],
    ) -> None:
        self._rank_feed = rank_feed(self)
        self._name = name
        self._host = host
        self._port = port
        self._engine = engine
        self._engine_address = engine_address
        self._find_upstream = find_upstream
        self._upstream: str | None = None
        self._started_ms = 0
        self._connect = connect
        self._fenced_engine = fenced_engine
        self._table = table
        self._engine_model = engine_model
        self._link_bits_per_s = link_bits_per_s
        self._record: RankRecord | None = None
        self._record_era = 0
        self._rank_records: dict[str, RankRecord] = {}
        self._links: dict[tuple[str, int, str], RankClient] = {}
        self._coordinator: MapCoordinator | None = None
        self._newer_token = 0
        self._stopping = False

    def watch(self) -> None:
        """Register the engine's group, rank and slowdown if they are new or changed."""
        try:
            state = self._engine.state()
        except RankEngineError as exc:
            _log.info("engine did not answer", error=repr(exc))
            return
        try:
            if self._upstream is None or state.started_ms != self._started_ms:
                self._upstream = self._find_upstream()
                self._started_ms = state.started_ms
            if self._upstream is None:
                return
            own = self._build_record(state, self._upstream)
            # A table that came back from an older copy may lack this rank's record.
            era = self._table.era
            if own == self._record and era == self._record_era:
                return
            self._fenced_engine.restore(current_token(self._table, _duty(own.group)))
            self._table.commit([], [Write(PREFIX + self._name, own.encode())])
        except (TableError, RankEngineError) as exc:
            _log.warning("rank not listed", error=repr(exc))
            return
        _log.info(
            "rank listed",
            group=own.group,
            rank=own.rank,
            epoch=state.epoch,
        )
        self._record, self._record_era = own, era

    def run(self) -> None:
        """Coordinate the group, or wait for an election, until `stop` is called."""
        while not self._stopping:
            started = time.monotonic()
            try:
                self._run_once()
            except (Exception, gevent.Timeout):
                _log.exception("coordination failed")
            passed_s = time.monotonic() - started
            gevent.sleep(max(0.01, COORDINATION_INTERVAL_S - passed_s))

    def stop(self) -> None:
        """Make `run` return after the switch in progress."""
        self._stopping = True

    def put(self, row: Row) -> None:
        """Store a rank record that is new or has changed."""
        record = decode_rank(row)
        if record is not None:
            # Keep the most recently changed record last.
            self._rank_records.pop(record.name, None)
            self._rank_records[record.name] = record

    def replace(self, rows: list[Row]) -> None:
        """Replace all rank records."""
        self._rank_records = {}
        for row in sorted(rows, key=lambda row: row.version):
            self.put(row)

    def drop(self, key: str) -> None:
        """Remove the rank record with a key."""
        self._rank_records.pop(key.removeprefix(PREFIX), None)

    def close(self) -> None:
        """Close all connections."""
        self._rank_feed.stop()
        for link in self._links.values():
            link.close()

    def _run_once(self) -> None:
        if self._coordinator is not None:
            self._coordinate()
        elif self._record is not None and self._takeover_due(self._record):
            self._run_for_election(self._record)

    def _direct_engine(self, record: RankRecord) -> FencedEngine:
        """Return a direct connection to an engine, for use while its agent is down."""
        fenced_engine = FencedEngine(self._connect(record.engine), local=False)
        fenced_engine.restore(NO_TOKEN)
        return fenced_engine

    def _build_record(self, state: RankState, upstream: str) -> RankRecord:
        before = self._record.pace if self._record else 1.0
        slowdown = before
        if abs(state.pace - before) > MIN_SLOWDOWN_CHANGE * before:
            slowdown = round(state.pace, 2)
        return RankRecord(
            name=self._name,
            host=self._host,
            port=self._port,
            group=state.group,
            rank=state.rank,
            upstream=upstream,
            engine=self._engine_address,
            pace=slowdown,
        )

    def _takeover_due(self, own: RankRecord) -> bool:
        silent_s = time.monotonic() - self._fenced_engine.last_request_at
        return silent_s > TAKEOVER_DELAY_S + RANK_DELAY_S * own.rank

    def _run_for_election(self, own: RankRecord) -> None:
        won = None
        if self._rank_feed.step():
            duty = _duty(own.group)
            above = max(self._fenced_engine.token, self._newer_token)
            won = elect(self._table, duty, self._name, above=above)
        if won is None:
            # Another rank was elected or the table is unavailable: restart the wait.
            self._rank_feed.stop()
            self._fenced_engine.last_request_at = time.monotonic()
            return
        self._rank_feed.start()
        previous = self._rank_records.get(won.previous_holder)
        self._coordinator = MapCoordinator(
            own.group,
            won.token,
            own.rank,
            self._engine_model,
            link_bits_per_s=self._link_bits_per_s,
            previous_rank=previous.rank if previous else None,
            previous_token=won.previous_token,
        )
        self._coordinate()

    def _coordinate(self) -> None:
        assert self._record is not None
        if self._record.rank != self._coordinator.own_rank:
            # What a coordinator knows of its own rank holds until ranks are given anew.
            self._coordinator = None
            self._rank_feed.stop()
            return
        try:
            self._coordinator.run_once(self._group_links(self._record))
        except Replaced as exc:
            _log.info("coordinator replaced", group=self._record.group, reason=str(exc))
            self._newer_token = max(self._newer_token, exc.token)
            self._coordinator = None
            self._rank_feed.stop()

    def _group_links(self, own: RankRecord) -> Mapping[int, RankLink]:
        links: dict[int, RankLink] = {own.rank: LocalLink(self._fenced_engine)}
        used = {}
        for record in reversed(self._rank_records.values()):
            if record.group != own.group or record.rank in links:
                # An older record of the same rank may be of an agent that is gone.
                continue
            address = (record.host, record.port, record.engine)
            link = self._links.get(address)
            if link is None:
                link = RankClient(record.host, record.port, self._direct_engine(record))
            used[address] = link
            links[record.rank] = link
        for address in self._links.keys() - used.keys():
            self._links[address].close()
        self._links = used
        return links


def _duty(group: str) -> str:
    return f"group/{group}"
