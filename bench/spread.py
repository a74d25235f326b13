"""Simulate the propagation of a configuration change by several methods.

``python -m bench.spread``: 370 entries and 600 agents are objects in one process.
Messages have the size of the real frames, are delayed, and may be lost. The tables
show the seconds until 50, 99 and 100 % of the live instances have the change, and
the bytes and messages per second.
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

EXCHANGE_INTERVAL_S = 1.0
POLL_INTERVAL_S = 4.0
DEAD_INSTANCE_TTL_S = 10.0
TIMEOUT_S = 30.0
PARTITION_S = 120.0
IDLE_S = 20.0
# Ethernet, IP and TCP headers of a message and of its acknowledgement.
HEADER_BYTES = 66 + 66
LOCAL_DELAY_S = (0.0005, 0.005)
REGION_DELAY_S = (0.04, 0.08)


def frame_bytes(frame: Frame) -> int:
    """Return the size of a frame on the wire, in bytes."""
    return len(codec.encode(frame)) + 4 + HEADER_BYTES


ENCODED_CHANGE = encode(
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
CHANGES_BYTES = frame_bytes(Frame(changes=Changes(0, 123456, [ENCODED_CHANGE], False)))


class PeerSelector(Protocol):
    """Select the instances that one entry exchanges with."""

    def exchange_targets(self) -> list[str]:
        """Return the instances to exchange revisions with now."""
        ...

    def push_targets(self) -> list[str]:
        """Return the instances to push a new change to."""
        ...


class GridSelector:
    """Select from the entry's row and column of a grid.

    References
    ----------
    S. Y. Cheung, M. H. Ammar, M. Ahamad, "The grid protocol: a high performance
    scheme for maintaining replicated data", IEEE TKDE 4(6), 1992.
    """

    def __init__(self, name: str, entries: list[str], rng: random.Random) -> None:
        width = int(np.ceil(np.sqrt(len(entries))))
        row, column = divmod(entries.index(name), width)
        positions = [(index // width, index % width) for index in range(len(entries))]
        self._row_and_column = [
            entry
            for entry, position in zip(entries, positions, strict=True)
            if entry != name and (position[0] == row or position[1] == column)
        ]
        self._rng = rng
        self.agents: list[str] = []

    def exchange_targets(self) -> list[str]:
        """Return a random entry of the row and column, and the assigned agents."""
        return [self._rng.choice(self._row_and_column), *self.agents]

    def push_targets(self) -> list[str]:
        """Return the whole row and column and the assigned agents."""
        return self._row_and_column + self.agents


class TreeSelector:
    """Select along a tree with one relay in each failure domain."""

    def __init__(self, name: str, domain: dict[str, str]) -> None:
        relays: dict[str, str] = {}
        for entry in sorted(domain):
            relays.setdefault(domain[entry], entry)
        relay = relays[domain[name]]
        self._relays = [relay] if relay != name else list(relays.values())
        self._members = (
            [e for e in domain if domain[e] == domain[name]] if relay == name else []
        )
        self._partners = [e for e in {*self._relays, *self._members} if e != name]
        self._index = 0
        self.agents: list[str] = []

    def exchange_targets(self) -> list[str]:
        """Return the next partner in turn and the assigned agents."""
        self._index += 1
        return [self._partners[self._index % len(self._partners)], *self.agents]

    def push_targets(self) -> list[str]:
        """Return all partners and the assigned agents."""
        return self._partners + self.agents


@dataclass(slots=True)
class Node:
    """Hold the state of one simulated instance."""

    name: str
    domain: int
    selector: PeerSelector | None
    revision: int = 0
    updated_at: float = float("inf")
    alive: bool = True
    sent_bytes: int = 0
    sent_messages: int = 0


@dataclass(slots=True)
class Case:
    """Describe one scenario.

    Parameters
    ----------
    name : str
        Name in the printed tables.
    table_available : bool
        Whether the table answers.
    domain_lost : bool
        Whether a failure domain is dead while still listed for some time.
    partition_s : float
        Duration of a network partition between the two regions, in seconds.
    """

    name: str
    table_available: bool = True
    domain_lost: bool = False
    partition_s: float = 0.0


@dataclass(slots=True)
class Simulation:
    """Simulate one scenario with one propagation method."""

    method: str
    case: Case
    seed: int
    nodes: dict[str, Node] = field(default_factory=dict)
    queue: list = field(default_factory=list)
    event_count: int = 0
    now: float = 0.0
    table_reads: int = 0
    rng: random.Random = field(default_factory=random.Random)

    def run(self) -> list[float]:
        """Return the seconds to 50, 99 and 100 % and the most bytes sent by a node.

        Seconds count from the end of the partition, if there is one.
        """
        self.rng = random.Random(f"{self.method}/{self.case.name}/{self.seed}")
        self._build()
        source = next(n for n in self.nodes.values() if n.alive and n.selector)
        self._apply_change(source, 0.0)
        end_s = self.case.partition_s + TIMEOUT_S
        while self.queue and self.queue[0][0] < end_s:
            self.now, _, callback = heapq.heappop(self.queue)
            callback()
            if all(n.revision for n in self.nodes.values() if n.alive):
                break
        times = sorted(n.updated_at for n in self.nodes.values() if n.alive)
        quantiles = [0.5, 0.99, 1.0]
        partition_s = self.case.partition_s
        delays_s = [
            max(0.0, times[min(len(times) - 1, int(p * len(times)))] - partition_s)
            for p in quantiles
        ]
        return [*delays_s, max(node.sent_bytes for node in self.nodes.values())]

    def run_idle(self) -> tuple[float, float, float]:
        """Return idle traffic per second: mean and largest bytes, mean messages."""
        self.rng = random.Random(f"idle/{self.method}/{self.seed}")
        self._build()
        while self.queue[0][0] < IDLE_S:
            self.now, _, callback = heapq.heappop(self.queue)
            callback()
        sent_bytes_per_s = [node.sent_bytes / IDLE_S for node in self.nodes.values()]
        message_count = sum(node.sent_messages for node in self.nodes.values())
        return (
            float(np.mean(sent_bytes_per_s)),
            max(sent_bytes_per_s),
            message_count / IDLE_S / len(self.nodes),
        )

    def _build(self) -> None:
        entries = [f"entry-{index:03d}" for index in range(ENTRIES.value)]
        agents = [f"agent-{index:03d}" for index in range(AGENTS.value)]
        for index, name in enumerate(entries + agents):
            lost = self.case.domain_lost and index % DOMAINS.value == 1
            node = Node(name, index % DOMAINS.value, None, alive=not lost)
            self.nodes[name] = node
        instances = [self._instance(name) for name in entries + agents]
        domain = {name: str(self.nodes[name].domain) for name in entries}
        agents_by_entry = _assignments(domain, agents)
        for name in entries:
            self.nodes[name].selector = self._make_selector(
                name, entries, instances, domain, agents_by_entry
            )
            self._schedule(
                self.rng.uniform(0, EXCHANGE_INTERVAL_S),
                self._make_ticker(self.nodes[name]),
            )
        if self.case.table_available:
            for node in self.nodes.values():
                self._schedule(
                    self.rng.uniform(0, POLL_INTERVAL_S), self._make_poller(node)
                )
        if self.case.domain_lost:
            self._schedule(DEAD_INSTANCE_TTL_S, self._remove_lost)

    def _make_selector(
        self,
        name: str,
        entries: list[str],
        instances: list[Instance],
        domain: dict[str, str],
        agents_by_entry: dict[str, list[str]],
    ) -> PeerSelector:
        rng = random.Random(f"{self.seed}/{name}")
        if self.method == "row and column":
            selector: PeerSelector = GridSelector(name, entries, rng)
        elif self.method == "tree by failure domain":
            selector = TreeSelector(name, domain)
        else:
            fanout = 3 if self.method == "random peers, pushed" else 0
            selector = GossipTargets(name, rng, fanout=fanout)
            selector.peers = [entry for entry in entries if entry != name]
        selector.agents = agents_by_entry[name]
        return selector

    def _instance(self, name: str) -> Instance:
        role = ROLE_ENTRY if name.startswith("entry") else ROLE_AGENT
        domain = str(self.nodes[name].domain)
        return Instance(name, role, domain, "r", "127.0.0.1", 1)

    def _remove_lost(self) -> None:
        live = [n.name for n in self.nodes.values() if n.alive and n.selector]
        agents = [n for n in self.nodes if n.startswith("agent")]
        domain = {name: str(self.nodes[name].domain) for name in live}
        agents_by_entry = _assignments(domain, agents)
        for name in live:
            node = self.nodes[name]
            node.selector = self._make_selector(name, live, [], domain, agents_by_entry)

    def _make_ticker(self, node: Node) -> Callable[[], None]:
        def tick() -> None:
            if node.alive and self.method != "polling the table":
                for name in node.selector.exchange_targets():
                    self._send(node, name, HELLO_BYTES, self._on_hello, node.revision)
            self._schedule(EXCHANGE_INTERVAL_S * self.rng.uniform(0.8, 1.2), tick)

        return tick

    def _make_poller(self, node: Node) -> Callable[[], None]:
        polls = self.method == "polling the table"

        def poll() -> None:
            if polls and node.alive:
                self.table_reads += 1
                self._apply_change(node, self.now)
            self._schedule(POLL_INTERVAL_S * self.rng.uniform(0.8, 1.2), poll)

        return poll

    def _on_hello(self, node: Node, sender: Node, revision: int) -> None:
        if revision > node.revision:
            self._send(node, sender.name, PULL_BYTES, self._on_pull, 0)
        elif revision < node.revision:
            self._send(node, sender.name, CHANGES_BYTES, self._on_changes, 1)

    def _on_pull(self, node: Node, sender: Node, _: int) -> None:
        self._send(node, sender.name, CHANGES_BYTES, self._on_changes, 1)

    def _on_changes(self, node: Node, sender: Node, _: int) -> None:
        self._apply_change(node, self.now)

    def _apply_change(self, node: Node, now: float) -> None:
        if node.revision:
            return
        node.revision = 1
        node.updated_at = now
        if node.selector is None or self.method in (
            "polling the table",
            "random peers",
        ):
            return
        for name in node.selector.push_targets():
            self._send(node, name, CHANGES_BYTES, self._on_changes, 1)

    def _send(
        self, node: Node, name: str, size: int, callback: Callable, revision: int
    ) -> None:
        node.sent_bytes += size
        node.sent_messages += 1
        receiver = self.nodes[name]
        cross_region = node.domain % 2 != receiver.domain % 2
        lost = self.rng.random() < LOSS.value or not receiver.alive
        if lost or (cross_region and self.now < self.case.partition_s):
            return
        delay = self.rng.uniform(*(REGION_DELAY_S if cross_region else LOCAL_DELAY_S))
        self._schedule(delay, lambda: callback(receiver, node, revision))

    def _schedule(self, delay: float, callback: Callable[[], None]) -> None:
        self.event_count += 1
        heapq.heappush(self.queue, (self.now + delay, self.event_count, callback))


def _assignments(entries: dict[str, str], agents: list[str]) -> dict[str, list[str]]:
    key = (len(entries), len(agents))
    if key not in _ASSIGNMENTS:
        _ASSIGNMENTS[key] = {
            name: assigned_agents(name, entries, agents) for name in entries
        }
    return _ASSIGNMENTS[key]


_ASSIGNMENTS: dict[tuple[int, int], dict[str, list[str]]] = {}
METHODS = (
    "polling the table",
    "random peers",
    "random peers, pushed",
    "row and column",
    "tree by failure domain",
)
CASES = (
    Case("all well"),
    Case("table down", table_available=False),
    Case("a failure domain gone", table_available=False, domain_lost=True),
    Case("regions cut for 120 s", table_available=False, partition_s=PARTITION_S),
)


def main(argv: list[str]) -> None:
    """Simulate all methods in all cases and print two tables."""
    seeds = [int(seed) for seed in SEEDS.value]
    print("| case | way | to 50 % | to 99 % | to 100 % (worst seed) | most sent |")
    print("|---|---|---|---|---|---|")
    for case in CASES:
        for method in METHODS:
            runs = np.array([Simulation(method, case, seed).run() for seed in seeds])
            p50_s, p99_s, all_s, sent_bytes = np.median(runs, axis=0)
            worst_s = runs[:, 2].max()
            print(
                f"| {case.name} | {method} | {p50_s:.2f} s | {p99_s:.2f} s |"
                f" {all_s:.2f} s ({worst_s:.2f} s) | {sent_bytes / 1000:.1f} KB |",
                flush=True,
            )
    print("\n| way | bytes/s mean | largest | messages/s | table reads/s |")
    print("|---|---|---|---|---|")
    for method in METHODS:
        simulation = Simulation(method, CASES[0], seeds[0])
        mean, largest, messages = simulation.run_idle()
        reads = simulation.table_reads / IDLE_S
        print(
            f"| {method} | {mean:.0f} | {largest:.0f} | {messages:.1f} | {reads:.0f} |",
            flush=True,
        )


if __name__ == "__main__":
    app.run(main)
