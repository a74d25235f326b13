"""Registration of a rank agent and election of the coordinator."""

import random

from standins.memory import MemoryTable
from standins.pass_group import GROUP, PassGroup
from toucanspool.backing.table import Row, Write
from toucanspool.groups.fenced_engine import FencedEngine
from toucanspool.groups.rank_member import RankMember
from toucanspool.groups.rank_record import PREFIX, RankRecord


class FakeRankFeed:
    """Record the calls of a member to its rank feed."""

    def __init__(self, *, available: bool = True) -> None:
        self.available = available
        self.calls: list[str] = []

    def step(self) -> bool:
        """Record the call."""
        self.calls.append("step")
        return self.available

    def start(self) -> None:
        """Record the call."""
        self.calls.append("start")

    def stop(self) -> None:
        """Record the call."""
        self.calls.append("stop")


def make_member(
    table: MemoryTable | None = None, rank_feed: FakeRankFeed | None = None
) -> RankMember:
    group = PassGroup(3, random.Random(1))
    engine = group.engine(0)
    return RankMember(
        "r0",
        "127.0.0.1",
        1,
        engine=engine,
        engine_address="10.0.0.1:80",
        find_upstream=lambda: "u0",
        connect=lambda address: engine,
        fenced_engine=FencedEngine(engine),
        table=table or MemoryTable(),
        engine_model=lambda: None,
        link_bits_per_s=1e9,
        rank_feed=lambda member: rank_feed or FakeRankFeed(),
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


def link_hosts(member: RankMember) -> dict[int, str]:
    links = member._group_links(member._record)
    return {rank: link._host for rank, link in links.items() if rank}


def test_a_rank_is_listed_once_the_name_of_its_engine_is_known():
    table = MemoryTable()
    member = make_member(table)
    member.watch()
    assert table.get([PREFIX + "r0"])
    assert member._record.upstream == "u0"


def test_the_newest_row_of_a_rank_counts():
    member = make_member()
    member.watch()
    member.replace([row("a-new", 1, "new", 9), row("z-old", 1, "old", 3)])
    assert link_hosts(member) == {1: "new"}
    member.put(row("z-old", 1, "back", 12))
    assert link_hosts(member) == {1: "back"}


def test_a_member_asks_for_the_ranks_once_it_stands():
    rank_feed = FakeRankFeed()
    member = make_member(rank_feed=rank_feed)
    member.watch()
    member._run_once()
    assert rank_feed.calls == []
    member._fenced_engine.last_request_at -= 60.0
    member._run_once()
    assert rank_feed.calls == ["step", "start"]


def test_a_member_that_can_not_read_the_ranks_does_not_stand():
    table = MemoryTable()
    rank_feed = FakeRankFeed(available=False)
    member = make_member(table, rank_feed)
    member.watch()
    member._fenced_engine.last_request_at -= 60.0
    member._run_once()
    assert rank_feed.calls == ["step", "stop"]
    assert member._coordinator is None


def test_a_replaced_coordinator_asks_for_the_ranks_no_more():
    rank_feed = FakeRankFeed()
    member = make_member(rank_feed=rank_feed)
    member.watch()
    member._fenced_engine.last_request_at -= 60.0
    member._run_once()
    member._fenced_engine.restore(99)
    member._run_once()
    assert member._coordinator is None
    assert rank_feed.calls[-1] == "stop"


def test_nothing_is_listed_while_the_table_is_down():
    table = MemoryTable()
    table.faults.down = True
    member = make_member(table)
    member.watch()
    assert member._record is None
    table.faults.down = False
    member.watch()
    assert member._record is not None


def test_a_rank_is_listed_again_after_the_table_came_back_from_an_older_copy():
    table = MemoryTable()
    member = make_member(table)
    member.watch()
    table.commit([], [Write(PREFIX + "r0", None)])
    member.watch()
    assert not table.get([PREFIX + "r0"])
    table.era += 1
    member.watch()
    assert table.get([PREFIX + "r0"])


def test_a_record_under_the_key_of_another_agent_is_ignored():
    """Guards against a rank whose agent is replaced by the row of another writer."""
    member = make_member()
    member.watch()
    member.put(row("r1", 1, "10.0.0.1", 1))
    member.put(Row(PREFIX + "odd", row("r1", 1, "10.0.0.2", 2).value, 2))
    assert link_hosts(member) == {1: "10.0.0.1"}
    member.replace(
        [
            row("r1", 1, "10.0.0.1", 1),
            Row(PREFIX + "odd", row("r1", 1, "10.0.0.2", 2).value, 2),
        ]
    )
    assert link_hosts(member) == {1: "10.0.0.1"}
