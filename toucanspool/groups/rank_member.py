"""One rank agent's part in its group: member always, coordinator when elected."""

import time
from collections.abc import Callable, Mapping
from typing import Protocol

import gevent
import structlog

from toucanspool.backing.table import Row, Table, TableError, Write
from toucanspool.groups.map_coordinator import MapCoordinator
from toucanspool.groups.rank_asker import Link, Replaced
from toucanspool.groups.rank_calls import RankLink
from toucanspool.groups.rank_engine import RankEngine, RankEngineError, RankState
from toucanspool.groups.rank_keeper import NO_TOKEN, RankKeeper
from toucanspool.groups.rank_record import PREFIX, RankRecord, decode_rank
from toucanspool.recovery.election import current_token, elect
from toucanspool.routing.routes import EngineModel
from toucanspool.routing.upstreams import Listing
from toucanspool.wire.gen.messages.ttypes import RankAnswer, RankAsk

STEP_S = 0.2
WATCH_S = 0.5
# Smaller changes of pace are not told to entries.
PACE_CHANGE = 0.2
# A group without a coordinator for this long elects another; each rank waits a
# little longer than the one before it, so that one of them stands alone.
TAKEOVER_S = 0.8
RANK_DELAY_S = 0.2

_log = structlog.get_logger()


class Ranks(Protocol):
    """Tell a member of the rank agents listed, for as long as it has to know."""

    def step(self) -> bool:
        """Tell all that are listed now, and return whether that was possible."""
        ...

    def start(self) -> None:
        """Begin to tell of changes."""
        ...

    def stop(self) -> None:
        """Stop telling."""
        ...


class _OwnLink:
    """Ask the agent in this process."""

    __slots__ = ("_keeper",)

    def __init__(self, keeper: RankKeeper) -> None:
        self._keeper = keeper

    def ask(self, ask: RankAsk) -> RankAnswer:
        return self._keeper.answer(ask)

    ask_engine = ask


class RankMember:
    """Keep a rank listed, and stand for its group's coordinator.

    Parameters
    ----------
    name : str
        This instance.
    host : str
        IP number on which asks are taken.
    port : int
        Port.
    engine : RankEngine
        The engine beside.
    find_listing : callable
        Returns the `Listing` of the engine, or None while it is not listed.
    connect : callable
        Takes the address of another rank's engine and returns it.
    keeper : RankKeeper
        Guards the engine.
    table : Table
        Where ranks are listed and coordinators elected.
    engine_model : callable
        Returns the `EngineModel`, or None while it is not known.
    link_bits_per_s : float
        What this instance's link carries.
    ranks : callable
        Takes this member and returns its `Ranks`, which are asked only while it
        stands for coordinator or is one.
    """

    __slots__ = (
        "_connect",
        "_coordinator",
        "_engine",
        "_engine_model",
        "_find_listing",
        "_host",
        "_keeper",
        "_link_bits_per_s",
        "_links",
        "_listed",
        "_listing",
        "_name",
        "_own",
        "_port",
        "_ranks",
        "_started_ms",
        "_stopping",
        "_table",
    )

    def __init__(
        self,
        name: str,
        host: str,
        port: int,
        *,
        engine: RankEngine,
        find_listing: Callable[[], Listing | None],
        connect: Callable[[str], RankEngine],
        keeper: RankKeeper,
        table: Table,
        engine_model: Callable[[], EngineModel | None],
        link_bits_per_s: float,
        ranks: Callable[["RankMember"], Ranks],
    ) -> None:
        self._ranks = ranks(self)
        self._name = name
        self._host = host
        self._port = port
        self._engine = engine
        self._find_listing = find_listing
        self._listing: Listing | None = None
        self._started_ms = 0
        self._connect = connect
        self._keeper = keeper
        self._table = table
        self._engine_model = engine_model
        self._link_bits_per_s = link_bits_per_s
        self._own: RankRecord | None = None
        self._listed: dict[str, RankRecord] = {}
        self._links: dict[tuple[str, int, str], RankLink] = {}
        self._coordinator: MapCoordinator | None = None
        self._stopping = False

    def watch(self) -> None:
        """Find out the engine's group and rank, and list them where they changed."""
        try:
            state = self._engine.state()
        except RankEngineError as exc:
            _log.info("engine silent", error=repr(exc))
            return
        try:
            if self._listing is None or state.started_ms != self._started_ms:
                self._listing = self._find_listing()
                self._started_ms = state.started_ms
            if self._listing is None:
                return
            own = self._record(state, self._listing)
            if own == self._own:
                return
            self._keeper.restore(current_token(self._table, _duty(own.group)))
            self._table.commit([], [Write(PREFIX + self._name, own.encode())])
        except (TableError, RankEngineError) as exc:
            _log.warning("rank not listed", error=repr(exc))
            return
        _log.info("rank listed", group=own.group, rank=own.rank, epoch=state.epoch)
        self._own = own

    def run(self) -> None:
        """Act as coordinator, or stand by, until told to stop."""
        while not self._stopping:
            started = time.monotonic()
            try:
                self._act()
            except Exception:
                _log.exception("coordination failed")
            passed_s = time.monotonic() - started
            gevent.sleep(max(0.01, STEP_S - passed_s))

    def stop(self) -> None:
        """End after the switch under way."""
        self._stopping = True

    def put(self, row: Row) -> None:
        """Take a row of a rank agent that is new or has changed."""
        record = decode_rank(row)
        if record is not None:
            # The newest stands last.
            self._listed.pop(record.name, None)
            self._listed[record.name] = record

    def replace(self, rows: list[Row]) -> None:
        """Take all rows of rank agents."""
        self._listed = {}
        for row in sorted(rows, key=lambda row: row.version):
            self.put(row)

    def drop(self, key: str) -> None:
        """Forget a rank agent."""
        self._listed.pop(key.removeprefix(PREFIX), None)

    def close(self) -> None:
        """Close all connections."""
        self._ranks.stop()
        for link in self._links.values():
            link.close()

    def _act(self) -> None:
        if self._coordinator is not None:
            self._coordinate()
        elif self._own is not None and self._alone(self._own):
            self._stand(self._own)

    def _direct(self, record: RankRecord) -> RankKeeper:
        """Return a way to a rank's engine past its agent, for while that is away."""
        keeper = RankKeeper(self._connect(record.engine), counts=False)
        keeper.restore(NO_TOKEN)
        return keeper

    def _record(self, state: RankState, listing: Listing) -> RankRecord:
        before = self._own.pace if self._own else 1.0
        pace = before
        if abs(state.pace - before) > PACE_CHANGE * before:
            pace = round(state.pace, 2)
        return RankRecord(
            name=self._name,
            host=self._host,
            port=self._port,
            group=state.group,
            rank=state.rank,
            upstream=listing.name,
            engine=listing.address,
            pace=pace,
        )

    def _alone(self, own: RankRecord) -> bool:
        silent_s = time.monotonic() - self._keeper.heard_at
        return silent_s > TAKEOVER_S + RANK_DELAY_S * own.rank

    def _stand(self, own: RankRecord) -> None:
        won = None
        if self._ranks.step():
            duty = _duty(own.group)
            won = elect(self._table, duty, self._name, above=self._keeper.token)
        if won is None:
            # Another stands too, or the table is away: wait for a coordinator again.
            self._ranks.stop()
            self._keeper.heard_at = time.monotonic()
            return
        self._ranks.start()
        before = self._listed.get(won.previous_holder)
        self._coordinator = MapCoordinator(
            own.group,
            won.token,
            own.rank,
            self._engine_model,
            link_bits_per_s=self._link_bits_per_s,
            rank_before=before.rank if before else None,
        )
        self._coordinate()

    def _coordinate(self) -> None:
        assert self._own is not None
        try:
            self._coordinator.step(self._group_links(self._own))
        except Replaced as exc:
            _log.info("coordinator replaced", group=self._own.group, reason=str(exc))
            self._coordinator = None
            self._ranks.stop()

    def _group_links(self, own: RankRecord) -> Mapping[int, Link]:
        links: dict[int, Link] = {own.rank: _OwnLink(self._keeper)}
        used = {}
        for record in reversed(self._listed.values()):
            if record.group != own.group or record.rank in links:
                # The agent of a rank that was listed before may be gone for good.
                continue
            address = (record.host, record.port, record.engine)
            link = self._links.get(address)
            if link is None:
                link = RankLink(record.host, record.port, self._direct(record))
            used[address] = link
            links[record.rank] = link
        for address in self._links.keys() - used.keys():
            self._links[address].close()
        self._links = used
        return links


def _duty(group: str) -> str:
    return f"group/{group}"
