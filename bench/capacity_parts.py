"""Measure components of entries, agents and elected duties within one process."""

import gc
import random
import time
import tracemalloc
from collections.abc import Callable

import numpy as np
import orjson

from bench.capacity_fit import Slope, cpu_ms, measure
from toucanspool.backing.instances import ROLE_AGENT, ROLE_ENTRY, Instance
from toucanspool.config.match import Match
from toucanspool.config.records import Change, Selector, Team, Upstream
from toucanspool.config.view import View, key_hash
from toucanspool.entry.directory import Directory
from toucanspool.groups.coordinator_service import uniform_map
from toucanspool.groups.load import RankReport
from toucanspool.groups.placement_settings import PlacementSettings
from toucanspool.groups.rebalancer import Rebalancer
from toucanspool.membership.addresses import pick_entries
from toucanspool.membership.gossip import GossipTargets
from toucanspool.routing.headroom import HeadroomPolicy
from toucanspool.routing.policy import RoutingRequest
from toucanspool.routing.prefix import PrefixIndex
from toucanspool.settings.settings import Group
from toucanspool.wire import codec
from toucanspool.wire.gen.messages.ttypes import (
    Frame,
    RankLoad,
    Report,
)

MODELS = 15
DOMAINS = 8
LAYERS = 60
SLOTS_PER_RANK = 3
FRAME_HEADER_BYTES = 4


class NoLink:
    """Replace a link where no connection is opened."""

    connect_count = 0

    def close(self) -> None:
        """Do nothing."""


def make_instances(count: int) -> list[Instance]:
    """Return entries and agents in the proportion of 370 to 600.

    Parameters
    ----------
    count : int
        Total number of instances.

    Returns
    -------
    list of Instance
    """
    entries = round(count * 370 / 970)
    return [
        _make_instance(n, ROLE_ENTRY if n < entries else ROLE_AGENT)
        for n in range(count)
    ]


def _make_instance(number: int, role: str) -> Instance:
    domain = f"domain-{number % DOMAINS}"
    agent = role == ROLE_AGENT
    labels = {"model": f"model-{number % MODELS}", "failure-domain": domain}
    return Instance(
        name=f"{role}-{number:04d}-0123456789",
        role=role,
        failure_domain=domain,
        region=f"region-{number % 2}",
        host="10.1.2.3",
        port=7000,
        http_port=0 if agent else 8080,
        upstream=f"upstream-{number:04d}" if agent else "",
        labels=labels if agent else {},
    )


def make_view(teams: int, upstreams: int = 600) -> View:
    """Return a configuration of teams, upstreams and two selectors per model."""
    rng = random.Random(1)
    records = [Selector("drained", "drain", upstreams=Match({"state": ("drain",)}))]
    for number in range(MODELS):
        model = Match({"model": (f"model-{number}",)})
        large = Match({"model": (f"model-{number}",), "team.size": ("large",)})
        records.append(Selector(f"m-{number}", "route", work=model, upstreams=model))
        records.append(
            Selector(f"l-{number}", "route", 50, work=large, upstreams=model)
        )
    records += [
        Team(f"team-{n}", {"size": "small", "share": "1"}, (key_hash(f"key-{n}"),))
        for n in range(teams)
    ]
    records += [
        Upstream(f"upstream-{n:04d}", {"pool": rng.choice("ab")})
        for n in range(upstreams)
    ]
    return View(revision=1, records=records)


def slopes() -> list[Slope]:
    """Measure the cost of each component."""
    list_sizes = (240, 485, 970)
    return [
        measure("configuration in memory", "KB", "team", (1000, 2000, 4500), _view_kb),
        measure("one change put in force", "ms", "team", (1000, 2000, 4500), _apply_ms),
        measure("choice of an upstream", "ms", "upstream", (60, 200, 600), _choose_ms),
        measure("answer of addresses", "ms", "entry", (90, 180, 370), _addresses_ms),
        measure("instance list, bytes", "B", "instance", list_sizes, _list_bytes, 1),
        measure(
            "instance list, decoded", "ms", "instance", list_sizes, _decode_list_ms
        ),
        measure(
            "instance list, directory", "ms", "instance", list_sizes, _directory_ms
        ),
        measure(
            "instance list, spread, unchanged",
            "ms",
            "instance",
            list_sizes,
            _unchanged_list_ms,
        ),
        measure(
            "instance list, spread, changed",
            "ms",
            "instance",
            list_sizes,
            _changed_list_ms,
        ),
        measure("load reports read", "ms", "report", (50, 200, 800), _read_reports_ms),
        measure("ranks' reports, bytes/s", "B", "rank", (16, 64, 128), _rank_bytes, 1),
        measure(
            "ranks' reports read, a second",
            "ms",
            "rank",
            (16, 64, 128),
            _read_rank_reports_ms,
        ),
        measure("decision of a group", "ms", "rank", (16, 64, 128), _decide_ms),
    ]


def _view_kb(teams: float, seed: int) -> float:
    gc.collect()
    tracemalloc.start()
    view = make_view(int(teams))
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del view
    return size / 1000.0


def _apply_ms(teams: float, seed: int) -> float:
    view = make_view(int(teams))

    def apply_change() -> None:
        upstream = Upstream(f"upstream-{view.revision % 600:04d}", {"state": "drain"})
        number = view.revision + 1
        view.apply(Change(number, f"c{number}", "ana", 0.0, "Ana did.", (upstream,)))

    return cpu_ms(apply_change, 200)


def _choose_ms(upstreams: float, seed: int) -> float:
    view = make_view(100)
    instances = [_make_instance(n, ROLE_AGENT) for n in range(int(upstreams))]
    directory = Directory(lambda host, port: NoLink())
    directory.update(instances)
    policy = HeadroomPolicy(random.Random(seed), prefixes=PrefixIndex())
    request_labels = {"model": "model-3", "team": "team-1", "team.size": "small"}

    def choose_upstream() -> None:
        eligible = directory.eligible(request_labels, view).targets
        candidates = [target.candidate for target in eligible]
        policy.choose(RoutingRequest("domain-1", ("a", "b"), 300), candidates, 1.0)

    return cpu_ms(choose_upstream, 100)


def _addresses_ms(entries: float, seed: int) -> float:
    instances = [_make_instance(n, ROLE_ENTRY) for n in range(int(entries))]
    return cpu_ms(lambda: pick_entries(f"team-{seed}", instances, 3), 100)


def _raw_list(count: float) -> bytes:
    names = Instance.__slots__
    items = [{n: getattr(i, n) for n in names} for i in make_instances(int(count))]
    return orjson.dumps(items)


def _list_bytes(count: float, seed: int) -> float:
    return float(len(_raw_list(count)))


def _decode_list_ms(count: float, seed: int) -> float:
    raw = _raw_list(count)
    return cpu_ms(lambda: [Instance(**item) for item in orjson.loads(raw)], 20)


def _directory_ms(count: float, seed: int) -> float:
    instances = make_instances(int(count))
    directory = Directory(lambda host, port: NoLink())
    return cpu_ms(lambda: directory.update(instances), 50)


def _unchanged_list_ms(count: float, seed: int) -> float:
    instances = make_instances(int(count))
    targets = GossipTargets(instances[0].name, random.Random(seed))
    return cpu_ms(lambda: targets.update(instances), 20)


def _changed_list_ms(count: float, seed: int) -> float:
    instances = make_instances(int(count))
    targets = GossipTargets(instances[0].name, random.Random(seed))
    toggle = [0]

    def update_targets() -> None:
        toggle[0] ^= 1
        targets.update(instances[: len(instances) - toggle[0]])

    return cpu_ms(update_targets, 10)


def _read_reports_ms(reports: float, seed: int) -> float:
    directory = Directory(lambda host, port: NoLink())
    directory.update(make_instances(970))
    names = [target.instance.upstream for target in directory.targets]
    frames = [
        codec.encode(Frame(report=_make_report(names[n % len(names)], n + 1)))
        for n in range(int(reports))
    ]

    def read() -> None:
        for data in frames:
            report = codec.decode(data).report
            directory.find(report.upstream).apply_report(report, 1.0)

    return cpu_ms(read, 20)


def _make_report(name: str, seq: int) -> Report:
    return Report(name, seq, 76, 12, 31.5, "serve", 123456, 240, [])


def report_bytes() -> int:
    """Return the size of a framed load report in bytes, without TCP headers."""
    frame = Frame(report=_make_report("upstream-0123", 100_000))
    return len(codec.encode(frame)) + FRAME_HEADER_BYTES


def _rank_frame(rank: int, rng: np.random.Generator) -> bytes:
    tokens = rng.poisson(300, LAYERS * SLOTS_PER_RANK).tolist()
    load = RankLoad("group-01", rank, 7, 28, 0.9, LAYERS, tokens, 0)
    return codec.encode(Frame(rank_load=load))


def _rank_bytes(ranks: float, seed: int) -> float:
    rng = np.random.default_rng(seed)
    return float(
        sum(len(_rank_frame(r, rng)) + FRAME_HEADER_BYTES for r in range(int(ranks)))
    )


def _read_rank_reports_ms(ranks: float, seed: int) -> float:
    rng = np.random.default_rng(seed)
    frames = [_rank_frame(rank, rng) for rank in range(int(ranks))]
    rebalancer = _make_rebalancer(int(ranks))

    def read() -> None:
        for data in frames:
            _observe(rebalancer, codec.decode(data).rank_load, 1.0)

    return cpu_ms(read, 5)


def _decide_ms(ranks: float, seed: int) -> float:
    """Return the mean processor time of a decision over 20 simulated seconds."""
    rng = np.random.default_rng(seed)
    rebalancer = _make_rebalancer(int(ranks))
    spent_ms = 0.0
    for second in range(1, 21):
        for rank in range(int(ranks)):
            load = codec.decode(_rank_frame(rank, rng)).rank_load
            _observe(rebalancer, load, float(second))
        spent_ms += _once_ms(lambda now=float(second): rebalancer.decide(now))
        rebalancer.withdraw()
    return spent_ms / 20


def _once_ms(func: Callable[[], object]) -> float:
    began = time.process_time()
    func()
    return (time.process_time() - began) * 1000.0


def _make_rebalancer(ranks: int) -> Rebalancer:
    cfg = Group(
        name="group-01",
        ranks=ranks,
        layers=LAYERS,
        experts=2 * ranks,
        slots=SLOTS_PER_RANK,
    )
    return Rebalancer(PlacementSettings(), uniform_map(cfg), 0.0)


def _observe(rebalancer: Rebalancer, load: RankLoad, now: float) -> None:
    tokens = np.array(load.tokens, dtype=np.int64).reshape(load.layers, -1)
    version = rebalancer.map.version
    report = RankReport(load.rank, version, now, load.steps, load.busy_s, tokens)
    rebalancer.observe(report, now)
