"""One rank agent's part in its group: member always, coordinator when elected."""

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import gevent
import orjson
import structlog

from toucanspool.backing.table import Row, Table, TableError, Write
from toucanspool.groups.armed_switch import Link, Replaced
from toucanspool.groups.map_coordinator import MapCoordinator
from toucanspool.groups.rank_calls import RankLink
from toucanspool.groups.rank_engine import RankEngine, RankEngineError, RankState
from toucanspool.groups.rank_keeper import RankKeeper
from toucanspool.recovery.token import elect, held_token
from toucanspool.routing.routes import EngineModel
from toucanspool.wire.gen.messages.ttypes import RankAnswer, RankAsk

PREFIX = "rank/"
STEP_S = 0.2
WATCH_S = 1.0
# A group without a coordinator for this long elects another; each rank waits a
# little longer than the one before it, so that one of them stands alone.
TAKEOVER_S = 1.5
RANK_DELAY_S = 0.25

_log = structlog.get_logger()


@dataclass(slots=True, frozen=True)
class RankRecord:
    """Hold what a rank agent lists of itself.

    Parameters
    ----------
    name : str
        Its instance.
    host : str
        IP number.
    port : int
        Port.
    group : str
        The group of its engine.
    rank : int
        Its engine's rank.
    """

    name: str
    host: str
    port: int
    group: str
    rank: int

    def encode(self) -> bytes:
        """Return the record as JSON."""
        return orjson.dumps(self)


def decode_rank(row: Row) -> RankRecord | None:
    """Return the record in a row, or None where it can't be read.

    Parameters
    ----------
    row : Row
        The row.

    Returns
    -------
    RankRecord or None
    """
    try:
        return RankRecord(**orjson.loads(row.value))
    except (ValueError, TypeError) as exc:
        _log.warning("unreadable rank record", key=row.key, error=repr(exc))
        return None


class _OwnLink:
    """Ask the agent in this process."""

    __slots__ = ("_keeper",)

    def __init__(self, keeper: RankKeeper) -> None:
        self._keeper = keeper

    def ask(self, ask: RankAsk, *, timeout_s: float = 0.0) -> RankAnswer:
        return self._keeper.answer(ask)


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
    keeper : RankKeeper
        Guards the engine.
    table : Table
        Where ranks are listed and coordinators elected.
    engine_model : callable
        Returns the `EngineModel`, or None while it is not known.
    """

    __slots__ = (
        "_coordinator",
        "_engine",
        "_engine_model",
        "_host",
        "_keeper",
        "_links",
        "_listed",
        "_name",
        "_own",
        "_port",
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
        keeper: RankKeeper,
        table: Table,
        engine_model: Callable[[], EngineModel | None],
    ) -> None:
        self._name = name
        self._host = host
        self._port = port
        self._engine = engine
        self._keeper = keeper
        self._table = table
        self._engine_model = engine_model
        self._own: RankRecord | None = None
        self._listed: dict[str, RankRecord] = {}
        self._links: dict[tuple[str, int], RankLink] = {}
        self._coordinator: MapCoordinator | None = None
        self._stopping = False

    def watch(self) -> None:
        """Find out the engine's group and rank, and list them where they changed."""
        try:
            state = self._engine.state()
        except RankEngineError as exc:
            _log.info("engine silent", error=repr(exc))
            return
        own = self._record(state)
        if own == self._own:
            return
        try:
            self._keeper.restore(held_token(self._table, _duty(own.group)))
            self._table.commit([], [Write(PREFIX + self._name, own.encode())])
        except TableError as exc:
            _log.warning("rank not listed", error=repr(exc))
            return
        _log.info("rank listed", group=own.group, rank=own.rank, epoch=state.epoch)
        self._own = own

    def run(self) -> None:
        """Act as coordinator, or stand by, until told to stop."""
        while not self._stopping:
            started = time.monotonic()
            if self._coordinator is not None:
                self._coordinate()
            elif self._own is not None and self._alone(self._own):
                self._stand(self._own)
            passed_s = time.monotonic() - started
            gevent.sleep(max(0.01, STEP_S - passed_s))

    def stop(self) -> None:
        """End after the switch under way."""
        self._stopping = True

    def put(self, row: Row) -> None:
        """Take a row of a rank agent that is new or has changed."""
        record = decode_rank(row)
        if record is not None:
            self._listed[record.name] = record

    def replace(self, rows: list[Row]) -> None:
        """Take all rows of rank agents."""
        self._listed = {}
        for row in rows:
            self.put(row)

    def drop(self, key: str) -> None:
        """Forget a rank agent."""
        self._listed.pop(key.removeprefix(PREFIX), None)

    def close(self) -> None:
        """Close all connections."""
        for link in self._links.values():
            link.close()

    def _record(self, state: RankState) -> RankRecord:
        return RankRecord(self._name, self._host, self._port, state.group, state.rank)

    def _alone(self, own: RankRecord) -> bool:
        silent_s = time.monotonic() - self._keeper.heard_at
        return silent_s > TAKEOVER_S + RANK_DELAY_S * own.rank

    def _stand(self, own: RankRecord) -> None:
        token = elect(
            self._table, _duty(own.group), self._name, above=self._keeper.token
        )
        if token is None:
            # Another stands too, or the table is away: wait for a coordinator again.
            self._keeper.heard_at = time.monotonic()
            return
        self._coordinator = MapCoordinator(
            own.group, token, own.rank, self._engine_model
        )

    def _coordinate(self) -> None:
        assert self._own is not None
        try:
            self._coordinator.step(self._group_links(self._own))
        except Replaced as exc:
            _log.info("coordinator replaced", group=self._own.group, reason=str(exc))
            self._coordinator = None

    def _group_links(self, own: RankRecord) -> Mapping[int, Link]:
        links: dict[int, Link] = {own.rank: _OwnLink(self._keeper)}
        used = {}
        for record in self._listed.values():
            if record.group != own.group or record.name == self._name:
                continue
            address = (record.host, record.port)
            link = self._links.get(address) or RankLink(*address)
            used[address] = link
            links.setdefault(record.rank, link)
        for address in self._links.keys() - used.keys():
            self._links[address].close()
        self._links = used
        return links


def _duty(group: str) -> str:
    return f"group/{group}"
