"""A rank agent's part in its group."""

import random

from standins.memory import MemoryTable
from standins.pass_group import GROUP, PassGroup
from toucanspool.backing.table import Row
from toucanspool.groups.fenced_engine import FencedEngine
from toucanspool.groups.rank_member import RankMember
from toucanspool.groups.rank_record import PREFIX, RankRecord
from toucanspool.routing.upstreams import Listing


class RanksSeen:
    """Record what a member asks of its list of ranks."""

    def __init__(self, *, known: bool = True) -> None:
        self.known = known
        self.asked: list[str] = []

    def step(self) -> bool:
        """Note the call."""
        self.asked.append("step")
        return self.known

    def start(self) -> None:
        """Note the call."""
        self.asked.append("start")

    def stop(self) -> None:
        """Note the call."""
        self.asked.append("stop")


def member(
    table: MemoryTable | None = None, ranks: RanksSeen | None = None
) -> RankMember:
    group = PassGroup(3, random.Random(1))
    engine = group.engine(0)
    listing = Listing(name="u0", service="s", host="10.0.0.1", port=80)
    return RankMember(
        "r0",
        "127.0.0.1",
        1,
        engine=engine,
        find_listing=lambda: listing,
        connect=lambda address: engine,
        fenced_engine=FencedEngine(engine),
        table=table or MemoryTable(),
        engine_model=lambda: None,
        link_bits_per_s=1e9,
        ranks=lambda member: ranks or RanksSeen(),
    )


def row(name: str, rank: int, host: str, version: int) -> Row:
    record = RankRecord(
        name=name,
        host=host,
        port=1,
        group=GROUP,
        rank=rank,
        upstream="u",
        engine="10.0.0.9:80",
        pace=1.0,
    )
    return Row(PREFIX + name, record.encode(), version)


def hosts(one: RankMember) -> dict[int, str]:
    links = one._group_links(one._own)
    return {rank: link._host for rank, link in links.items() if rank}


def test_a_rank_is_listed_once_its_engine_is():
    table = MemoryTable()
    one = member(table)
    one.watch()
    assert table.get([PREFIX + "r0"])
    assert one._own.upstream == "u0"


def test_the_newest_row_of_a_rank_counts():
    one = member()
    one.watch()
    one.replace([row("a-new", 1, "new", 9), row("z-old", 1, "old", 3)])
    assert hosts(one) == {1: "new"}
    one.put(row("z-old", 1, "back", 12))
    assert hosts(one) == {1: "back"}


def test_a_member_asks_for_the_ranks_once_it_stands():
    ranks = RanksSeen()
    one = member(ranks=ranks)
    one.watch()
    one._act()
    assert ranks.asked == []
    one._fenced_engine.last_request_at -= 60.0
    one._act()
    assert ranks.asked == ["step", "start"]


def test_a_member_that_can_not_read_the_ranks_does_not_stand():
    table = MemoryTable()
    ranks = RanksSeen(known=False)
    one = member(table, ranks)
    one.watch()
    one._fenced_engine.last_request_at -= 60.0
    one._act()
    assert ranks.asked == ["step", "stop"]
    assert one._coordinator is None


def test_a_replaced_coordinator_asks_for_the_ranks_no_more():
    ranks = RanksSeen()
    one = member(ranks=ranks)
    one.watch()
    one._fenced_engine.last_request_at -= 60.0
    one._act()
    one._fenced_engine.restore(99)
    one._act()
    assert one._coordinator is None
    assert ranks.asked[-1] == "stop"


def test_nothing_is_listed_while_the_table_is_down():
    table = MemoryTable()
    table.faults.down = True
    one = member(table)
    one.watch()
    assert one._own is None
    table.faults.down = False
    one.watch()
    assert one._own is not None
