"""All entries together send a cold upstream no more than it tolerates."""

import random

import pytest

from toucanspool.backing.table import Row
from toucanspool.gateway.cold_sharing import SETTLE_S, ColdSharing
from toucanspool.membership.entries import ENTRY_PREFIX, Entries, EntryRecord
from toucanspool.retries.ejection import Ejector
from toucanspool.routing.routes import RouteTable, ServiceModel
from toucanspool.routing.upstream import Listing
from toucanspool.routing.upstreams import UpstreamList
from toucanspool.settings.settings import ColdStarts
from toucanspool.telemetry.call_metrics import CallMetrics

BOUND = ColdStarts(overrun=1.5, slack=5.0)
RATES = (2.0, 3.0, 5.0, 10.0, 20.0, 50.0)
STEP_S = 0.02
STEPS_PER_TICK = 5
RUN_S = 12.0
START = 100.0
# The upstreams stay cold for longer than any run.
COLD_S = 60.0


class Entry:
    """Hold one entry of a world, which uses cold upstreams whenever it may."""

    def __init__(self, name: str, per_s: float, n_upstreams: int) -> None:
        self.name = name
        self.record = EntryRecord(name, "a:1", "b:1")
        self.entries = Entries(self.record)
        self.upstreams = UpstreamList()
        self.ejector = Ejector(random.Random(1))
        self.metrics = CallMetrics()
        self.sharing = ColdSharing(
            self.upstreams, self.entries, self.ejector, self.metrics
        )
        service = ServiceModel(name="s", cold_start_s=COLD_S, cold_per_s=per_s)
        routes = RouteTable(version=1, services={"s": service})
        self.sharing.configure(BOUND, routes, START)
        listings = [
            Listing(
                name=f"u{n}", service="s", host="h", port=1, cold_remaining_s=COLD_S
            )
            for n in range(n_upstreams)
        ]
        self.upstreams.replace(listings, 1, now=START)

    def read_list(self, names: list[str]) -> None:
        """Read the list of entries."""
        self.entries.replace(
            Row(ENTRY_PREFIX + name, EntryRecord(name, "a:1", "b:1").encode(), 1)
            for name in names
        )

    def lose(self, names: list[str], now: float) -> None:
        """Miss the answers of other entries."""
        for name in names:
            for _ in range(2):
                self.entries.record_probe(name, ready=False, now=now)

    def send(self, now: float, arrivals: dict[str, list[float]]) -> None:
        """Send a request to each upstream that may get one."""
        for upstream in self.upstreams:
            assert upstream.bounded
            while upstream.wait_s(now) <= 0.0:
                upstream.start_request(now)
                arrivals[upstream.name].append(now)


class World:
    """Play entries by objects, without a network.

    Parameters
    ----------
    n_entries, n_upstreams : int
        Numbers of entries and of cold upstreams.
    per_s : float
        Requests a second that each upstream tolerates.

    Attributes
    ----------
    names : list of str
        Names of the entries.
    entries : dict of str to Entry
        Entries that run.
    arrivals : dict of str to list of float
        Times of the requests by upstream.
    """

    def __init__(self, n_entries: int, n_upstreams: int, per_s: float) -> None:
        self.per_s = per_s
        self.names = [f"edge-{n}" for n in range(n_entries)]
        self._n_upstreams = n_upstreams
        self.entries = {name: self.new_entry(name) for name in self.names}
        self.arrivals: dict[str, list[float]] = {
            f"u{n}": [] for n in range(n_upstreams)
        }

    def new_entry(self, name: str) -> Entry:
        """Return an entry that has just started."""
        return Entry(name, self.per_s, self._n_upstreams)

    def play(self, seconds=RUN_S, before_tick=lambda now: None) -> None:
        """Run all entries, and call a function before each of their ticks."""
        for step in range(round(seconds / STEP_S)):
            now = START + step * STEP_S
            if step % STEPS_PER_TICK == 0:
                before_tick(now)
                for entry in self.entries.values():
                    entry.sharing.update(now)
            for entry in self.entries.values():
                entry.send(now, self.arrivals)

    def most_in_a_second(self) -> int:
        """Return the requests in the fullest second at any upstream, ends included."""
        fullest = 0
        for times in self.arrivals.values():
            first = 0
            for last, at in enumerate(times):
                while at - times[first] > 1.0 + 1e-6:
                    first += 1
                fullest = max(fullest, last - first + 1)
        return fullest

    def check(self) -> None:
        """Check the bound in every sliding second."""
        allowed = self.per_s * BOUND.overrun + BOUND.slack
        assert self.most_in_a_second() <= allowed


@pytest.mark.parametrize("per_s", RATES)
@pytest.mark.parametrize(
    ("n_entries", "n_upstreams"), [(40, 8), (29, 1), (40, 2), (3, 4)]
)
def test_entries_with_the_same_view_use_what_an_upstream_tolerates(
    n_entries, n_upstreams, per_s
):
    world = World(n_entries, n_upstreams, per_s)
    for entry in world.entries.values():
        entry.read_list(world.names)
    world.play()
    world.check()
    # An entry that sends in steps is up to a step late with each request.
    late = 1.0 + STEP_S * per_s / min(n_entries, per_s / 4 + 2)
    for times in world.arrivals.values():
        used = len([at for at in times if at > START + SETTLE_S])
        assert used >= 0.95 * per_s / late * (RUN_S - SETTLE_S) - 2


@pytest.mark.parametrize("per_s", RATES)
@pytest.mark.parametrize("seed", range(6))
def test_entries_that_each_miss_some_others_keep_to_the_bound(seed, per_s):
    rng = random.Random(seed)
    world = World(rng.choice([12, 18, 29, 40]), rng.choice([1, 3, 8]), per_s)
    for name in world.names:
        others = [other for other in world.names if other != name]
        missing = rng.sample(others, rng.randint(0, len(others) // 6))
        world.entries[name].read_list([n for n in world.names if n not in missing])

    def change(now):
        # Entries are lost and found again by some, but not by all others.
        for entry in rng.sample(list(world.entries.values()), 2):
            for other in rng.sample(world.names, 3):
                ready, count = rng.random() < 0.6, rng.randint(1, len(world.names))
                entry.entries.record_probe(other, ready=ready, now=now, count=count)

    world.play(before_tick=change)
    world.check()


@pytest.mark.parametrize("per_s", RATES)
@pytest.mark.parametrize("groups", [2, 3, 7, 40])
def test_a_cut_between_entries_keeps_the_bound(groups, per_s):
    world = World(40, 3, per_s)
    for entry in world.entries.values():
        entry.read_list(world.names)

    def cut(now):
        if round(now * 10) != 1050:
            return
        for n, entry in enumerate(world.entries.values()):
            lost = [o for m, o in enumerate(world.names) if m % groups != n % groups]
            entry.lose(lost, now)

    world.play(before_tick=cut)
    world.check()


@pytest.mark.parametrize("per_s", RATES)
@pytest.mark.parametrize("seed", range(3))
def test_entries_that_take_any_others_for_dead_keep_the_bound(seed, per_s):
    rng = random.Random(seed)
    world = World(40, 3, per_s)
    for entry in world.entries.values():
        entry.read_list(world.names)
        others = [name for name in world.names if name != entry.name]
        entry.lose(rng.sample(others, rng.randint(0, 39)), START)
    world.play()
    world.check()


@pytest.mark.parametrize("per_s", RATES)
def test_entries_that_start_together_and_read_the_list_late_keep_the_bound(per_s):
    rng = random.Random(1)
    world = World(40, 3, per_s)
    starts = {name: START + 2.0 * n / 40 for n, name in enumerate(world.names)}
    reads = {name: at + rng.random() for name, at in starts.items()}

    def read(now):
        for name, entry in world.entries.items():
            if now >= reads[name]:
                # The list is read each 2 s.
                reads[name] += 2.0
                entry.read_list([n for n, at in starts.items() if at <= now - 0.05])

    world.play(before_tick=read)
    world.check()


@pytest.mark.parametrize("per_s", RATES)
def test_entries_that_restart_keep_the_bound(per_s):
    rng = random.Random(2)
    world = World(29, 2, per_s)
    for entry in world.entries.values():
        entry.read_list(world.names)

    def restart(now):
        name = rng.choice(world.names)
        world.entries[name] = world.new_entry(name)
        # A half of them read the list at once, with their own rows of before.
        if rng.random() < 0.5:
            world.entries[name].read_list(world.names)

    world.play(before_tick=restart)
    world.check()


def test_an_entry_that_is_not_listed_or_leaves_sends_nothing():
    world = World(1, 1, 50.0)
    entry = world.entries["edge-0"]
    world.play(5.0)
    assert not world.arrivals["u0"]
    entry.read_list(world.names)
    entry.entries.leaving = True
    world.play(5.0)
    assert not world.arrivals["u0"]


def test_an_entry_that_others_report_to_be_one_of_many_takes_a_fraction():
    world = World(2, 1, 2.0)
    entry = world.entries["edge-0"]
    entry.read_list(world.names)
    entry.sharing.update(START)
    entry.sharing.update(START + SETTLE_S)
    cold = entry.upstreams.find("u0").cold
    assert cold.own_per_s == pytest.approx(1.0)
    entry.entries.record_probe("edge-1", ready=True, now=START, count=3)
    entry.sharing.update(START + SETTLE_S)
    assert cold.own_per_s == pytest.approx(2.0 / 3.0)


def test_an_upstream_that_is_warm_starts_slowly_and_without_a_bound():
    entry = World(1, 1, 2.0).entries["edge-0"]
    entry.ejector.update(["u0"], 0.0)
    end = START + COLD_S
    entry.sharing.update(end - 1.0)
    upstream = entry.upstreams.find("u0")
    assert entry.ejector.weight("u0", end) == 1.0
    assert b'cold_upstreams{service="s"} 1.0' in entry.metrics.render()
    # No request gets through between the end of the time and the slow start.
    assert upstream.wait_s(end + 0.05) > 0.0
    entry.sharing.update(end + 0.1)
    assert upstream.wait_s(end + 0.1) == 0.0
    assert entry.ejector.weight("u0", end + 0.1) == pytest.approx(0.1)
    assert entry.ejector.weight("u0", end + 5.1) == pytest.approx(0.55)
    assert b'cold_upstreams{service="s"} 0.0' in entry.metrics.render()


def test_without_settings_or_a_rate_there_is_no_bound():
    entry = World(1, 1, 2.0).entries["edge-0"]
    upstream = entry.upstreams.find("u0")
    entry.sharing.configure(None, None, START)
    entry.sharing.update(START)
    assert upstream.wait_s(START) == 0.0
    unbounded = World(1, 1, 0.0).entries["edge-0"].upstreams.find("u0")
    assert unbounded.wait_s(START) == 0.0
