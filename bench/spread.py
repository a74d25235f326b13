"""How a change of configuration spreads, by several ways, in one run.

``python -m bench.spread``: 370 entries and 600 agents are objects in one process,
messages have the size of the real frames, come late, and get lost. Printed are
seconds to 50, 99 and 100 % of the live instances, and bytes and messages a second.
"""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import numpy as np
from absl import app, flags

from toucanspool.backing.instances import ROLE_AGENT, ROLE_ENTRY, Instance
from toucanspool.config.records import Change, Upstream, encode
from toucanspool.membership.gossip import GossipTargets, assigned_agents
from toucanspool.wire import codec
from toucanspool.wire.gen.messages.ttypes import Changes, Frame, Hello, Pull

ENTRIES = flags.DEFINE_integer("entries", 370, "Entries.")
AGENTS = flags.DEFINE_integer("agents", 600, "Agents.")
DOMAINS = flags.DEFINE_integer("domains", 8, "Failure domains.")
LOSS = flags.DEFINE_float("loss", 0.02, "Part of the messages lost.")
SEEDS = flags.DEFINE_list("seeds", ["1", "2", "3", "4", "5"], "Seeds.")

TICK_S = 1.0
POLL_S = 4.0
DEAD_LISTED_S = 10.0
HORIZON_S = 30.0
CUT_S = 120.0
IDLE_S = 20.0
# Ethernet, IP and TCP headers of the message and of its acknowledgement.
HEADER_BYTES = 66 + 66
LOCAL_DELAY_S = (0.0005, 0.005)
REGION_DELAY_S = (0.04, 0.08)


def frame_bytes(frame: Frame) -> int:
    """Return the bytes that a frame takes on the wire."""
    return len(codec.encode(frame)) + 4 + HEADER_BYTES


CHANGE = encode(
    Change(
        revision=123456,
        change_id="ctl-0123456789abcdef",
        operator="ana",
        at=1.8e9,
        sentence="Ana put label state=drain on upstream guide-123, so it drains.",
        puts=(Upstream("guide-123", {"state": "drain", "rack": "r12"}),),
    )
)
HELLO_BYTES = frame_bytes(
    Frame(hello=Hello("entry-akl-0123456789", "entry", "auckland-1", 123456))
)
PULL_BYTES = frame_bytes(Frame(pull=Pull(0, 123455, 0)))
CHANGES_BYTES = frame_bytes(Frame(changes=Changes(0, 123456, [CHANGE], False)))


class Way(Protocol):
    """Choose partners for one entry."""

    def exchange_targets(self) -> list[str]:
        """Return the instances to exchange revisions with now."""
        ...

    def push_targets(self) -> list[str]:
        """Return the instances to push a new change to."""
        ...


class Grid:
    """Exchange along the row and column of a grid.

    References
    ----------
    S. Y. Cheung, M. H. Ammar, M. Ahamad, "The grid protocol: a high performance
    scheme for maintaining replicated data", IEEE TKDE 4(6), 1992.
    """

    def __init__(self, name: str, entries: list[str], rng: random.Random) -> None:
        width = int(np.ceil(np.sqrt(len(entries))))
        row, column = divmod(entries.index(name), width)
        places = [(index // width, index % width) for index in range(len(entries))]
        self._line = [
            entry
            for entry, place in zip(entries, places, strict=True)
            if entry != name and (place[0] == row or place[1] == column)
        ]
        self._rng = rng
        self.agents: list[str] = []

    def exchange_targets(self) -> list[str]:
        """Exchange with one of the row and column."""
        return [self._rng.choice(self._line), *self.agents]

    def push_targets(self) -> list[str]:
        """Push to the whole row and column."""
        return self._line + self.agents


class Tree:
    """Exchange through one relay in each failure domain."""

    def __init__(self, name: str, domain: dict[str, str]) -> None:
        relays: dict[str, str] = {}
        for entry in sorted(domain):
            relays.setdefault(domain[entry], entry)
        relay = relays[domain[name]]
        self._above = [relay] if relay != name else list(relays.values())
        self._below = (
            [e for e in domain if domain[e] == domain[name]] if relay == name else []
        )
        self._all = [e for e in {*self._above, *self._below} if e != name]
        self._index = 0
        self.agents: list[str] = []

    def exchange_targets(self) -> list[str]:
        """Exchange with the next of the relay's or member's partners."""
        self._index += 1
        return [self._all[self._index % len(self._all)], *self.agents]

    def push_targets(self) -> list[str]:
        """Push to all partners."""
        return self._all + self.agents


@dataclass(slots=True)
class Node:
    """Hold one instance of the model."""

    name: str
    domain: int
    way: Way | None
    revision: int = 0
    informed_at: float = float("inf")
    alive: bool = True
    sent_bytes: int = 0
    sent: int = 0


@dataclass(slots=True)
class Case:
    """Hold one scenario.

    Parameters
    ----------
    name : str
        Its name.
    table : bool
        Whether the table answers.
    domain_gone : bool
        Whether a failure domain is dead and still listed for a while.
    cut_s : float
        Time for which the two regions are cut off from each other.
    """

    name: str
    table: bool = True
    domain_gone: bool = False
    cut_s: float = 0.0


@dataclass(slots=True)
class Model:
    """Run one scenario."""

    way: str
    case: Case
    seed: int
    nodes: dict[str, Node] = field(default_factory=dict)
    queue: list = field(default_factory=list)
    count: int = 0
    now: float = 0.0
    reads: int = 0
    rng: random.Random = field(default_factory=random.Random)

    def run(self) -> list[float]:
        """Return seconds to 50, 99 and 100 %, and the most bytes a node has sent.

        Seconds count from the end of a cut.
        """
        self.rng = random.Random(f"{self.way}/{self.case.name}/{self.seed}")
        self._build()
        source = next(n for n in self.nodes.values() if n.alive and n.way)
        self._inform(source, 0.0)
        horizon = self.case.cut_s + HORIZON_S
        while self.queue and self.queue[0][0] < horizon:
            self.now, _, act = heapq.heappop(self.queue)
            act()
            if all(n.revision for n in self.nodes.values() if n.alive):
                break
        times = sorted(n.informed_at for n in self.nodes.values() if n.alive)
        places = [0.5, 0.99, 1.0]
        cut = self.case.cut_s
        waits = [
            max(0.0, times[min(len(times) - 1, int(p * len(times)))] - cut)
            for p in places
        ]
        return [*waits, max(node.sent_bytes for node in self.nodes.values())]

    def run_idle(self) -> tuple[float, float, float]:
        """Return mean and largest bytes, and messages, a second where all is quiet."""
        self.rng = random.Random(f"idle/{self.way}/{self.seed}")
        self._build()
        while self.queue[0][0] < IDLE_S:
            self.now, _, act = heapq.heappop(self.queue)
            act()
        sent = [node.sent_bytes / IDLE_S for node in self.nodes.values()]
        count = sum(node.sent for node in self.nodes.values())
        return float(np.mean(sent)), max(sent), count / IDLE_S / len(self.nodes)

    def _build(self) -> None:
        entries = [f"entry-{index:03d}" for index in range(ENTRIES.value)]
        agents = [f"agent-{index:03d}" for index in range(AGENTS.value)]
        for index, name in enumerate(entries + agents):
            gone = self.case.domain_gone and index % DOMAINS.value == 1
            node = Node(name, index % DOMAINS.value, None, alive=not gone)
            self.nodes[name] = node
        listed = [self._instance(name) for name in entries + agents]
        domain = {name: str(self.nodes[name].domain) for name in entries}
        mine = _assignments(domain, agents)
        for name in entries:
            self.nodes[name].way = self._way(name, entries, listed, domain, mine)
            self._later(self.rng.uniform(0, TICK_S), self._ticker(self.nodes[name]))
        if self.case.table:
            for node in self.nodes.values():
                self._later(self.rng.uniform(0, POLL_S), self._poller(node))
        if self.case.domain_gone:
            self._later(DEAD_LISTED_S, self._relist)

    def _way(
        self,
        name: str,
        entries: list[str],
        listed: list[Instance],
        domain: dict[str, str],
        mine: dict[str, list[str]],
    ) -> Way:
        rng = random.Random(f"{self.seed}/{name}")
        if self.way == "row and column":
            way: Way = Grid(name, entries, rng)
        elif self.way == "tree by failure domain":
            way = Tree(name, domain)
        else:
            fanout = 3 if self.way == "random peers, pushed" else 0
            way = GossipTargets(name, rng, fanout=fanout)
            way.peers = [entry for entry in entries if entry != name]
        way.agents = mine[name]
        return way

    def _instance(self, name: str) -> Instance:
        role = ROLE_ENTRY if name.startswith("entry") else ROLE_AGENT
        domain = str(self.nodes[name].domain)
        return Instance(name, role, domain, "r", "127.0.0.1", 1)

    def _relist(self) -> None:
        live = [n.name for n in self.nodes.values() if n.alive and n.way]
        agents = [n for n in self.nodes if n.startswith("agent")]
        domain = {name: str(self.nodes[name].domain) for name in live}
        mine = _assignments(domain, agents)
        for name in live:
            node = self.nodes[name]
            node.way = self._way(name, live, [], domain, mine)

    def _ticker(self, node: Node) -> Callable[[], None]:
        def tick() -> None:
            if node.alive and self.way != "polling the table":
                for name in node.way.exchange_targets():
                    self._send(node, name, HELLO_BYTES, self._on_hello, node.revision)
            self._later(TICK_S * self.rng.uniform(0.8, 1.2), tick)

        return tick

    def _poller(self, node: Node) -> Callable[[], None]:
        polls = self.way == "polling the table"

        def poll() -> None:
            if polls and node.alive:
                self.reads += 1
                self._inform(node, self.now)
            self._later(POLL_S * self.rng.uniform(0.8, 1.2), poll)

        return poll

    def _on_hello(self, node: Node, sender: Node, revision: int) -> None:
        if revision > node.revision:
            self._send(node, sender.name, PULL_BYTES, self._on_pull, 0)
        elif revision < node.revision:
            self._send(node, sender.name, CHANGES_BYTES, self._on_changes, 1)

    def _on_pull(self, node: Node, sender: Node, _: int) -> None:
        self._send(node, sender.name, CHANGES_BYTES, self._on_changes, 1)

    def _on_changes(self, node: Node, sender: Node, _: int) -> None:
        self._inform(node, self.now)

    def _inform(self, node: Node, now: float) -> None:
        if node.revision:
            return
        node.revision = 1
        node.informed_at = now
        if node.way is None or self.way in ("polling the table", "random peers"):
            return
        for name in node.way.push_targets():
            self._send(node, name, CHANGES_BYTES, self._on_changes, 1)

    def _send(
        self, node: Node, name: str, size: int, act: Callable, revision: int
    ) -> None:
        node.sent_bytes += size
        node.sent += 1
        other = self.nodes[name]
        apart = node.domain % 2 != other.domain % 2
        lost = self.rng.random() < LOSS.value or not other.alive
        if lost or (apart and self.now < self.case.cut_s):
            return
        delay = self.rng.uniform(*(REGION_DELAY_S if apart else LOCAL_DELAY_S))
        self._later(delay, lambda: act(other, node, revision))

    def _later(self, delay: float, act: Callable[[], None]) -> None:
        self.count += 1
        heapq.heappush(self.queue, (self.now + delay, self.count, act))


def _assignments(entries: dict[str, str], agents: list[str]) -> dict[str, list[str]]:
    key = (len(entries), len(agents))
    if key not in _CACHE:
        _CACHE[key] = {name: assigned_agents(name, entries, agents) for name in entries}
    return _CACHE[key]


_CACHE: dict[tuple[int, int], dict[str, list[str]]] = {}
WAYS = (
    "polling the table",
    "random peers",
    "random peers, pushed",
    "row and column",
    "tree by failure domain",
)
CASES = (
    Case("all well"),
    Case("table down", table=False),
    Case("a failure domain gone", table=False, domain_gone=True),
    Case("regions cut for 120 s", table=False, cut_s=CUT_S),
)


def main(argv: list[str]) -> None:
    """Run all ways through all cases and print two tables."""
    seeds = [int(seed) for seed in SEEDS.value]
    print("| case | way | to 50 % | to 99 % | to 100 % (worst seed) | most sent |")
    print("|---|---|---|---|---|---|")
    for case in CASES:
        for way in WAYS:
            runs = np.array([Model(way, case, seed).run() for seed in seeds])
            half, most, every, size = np.median(runs, axis=0)
            worst = runs[:, 2].max()
            print(
                f"| {case.name} | {way} | {half:.2f} s | {most:.2f} s |"
                f" {every:.2f} s ({worst:.2f} s) | {size / 1000:.1f} KB |",
                flush=True,
            )
    print("\n| way | bytes/s mean | largest | messages/s | table reads/s |")
    print("|---|---|---|---|---|")
    for way in WAYS:
        model = Model(way, CASES[0], seeds[0])
        mean, largest, count = model.run_idle()
        reads = model.reads / IDLE_S
        print(
            f"| {way} | {mean:.0f} | {largest:.0f} | {count:.1f} | {reads:.0f} |",
            flush=True,
        )


if __name__ == "__main__":
    app.run(main)
