"""What each role costs at full size, from slopes measured now.

``python -m bench.capacity`` measures costs at three sizes each, fits lines, and works
out state, messages, processor time and memory of each role, and the platform's
reads and writes. ``--noprocesses`` leaves out the part with real processes.
"""

from gevent import monkey

monkey.patch_all()

import time

import psutil
from absl import app, flags

from bench import capacity_duties, capacity_parts, capacity_processes
from bench.capacity_fit import HEAD, Slope
from toucanspool.agent.report_scheduler import REPORTS_PER_S
from toucanspool.config.snapshot_keeper import SNAPSHOT_EVERY_CHANGES
from toucanspool.recovery.duties import CLEANUP_INTERVAL_S
from toucanspool.recovery.elected_duty import LEASE_TTL_S as DUTY_TTL_S
from toucanspool.recovery.elected_duty import MAX_CANDIDATES
from toucanspool.recovery.lease import LEASE_TTL_S, RENEWALS_PER_TTL
from toucanspool.settings.settings import Agent, Entry, Settings

PROCESSES = flags.DEFINE_bool("processes", True, "Whether to start real processes.")
ENTRIES = flags.DEFINE_integer("entries", 370, "Entries.")
AGENTS = flags.DEFINE_integer("agents", 600, "Agents.")
TEAMS = flags.DEFINE_integer("teams", 4500, "Teams.")
RANKS = flags.DEFINE_integer("ranks", 128, "Ranks of a group.")
ACCELERATORS = flags.DEFINE_integer("accelerators", 4800, "Accelerators.")
REQUESTS = flags.DEFINE_float("requests", 3400.0, "Requests a second.")
CHANGES = flags.DEFINE_float("changes", 800.0, "Changes a day.")

LIMIT_CPU_MS = 14.0
LIMIT_MB = 256.0
LIMIT_BYTES = 3000.0
PLATFORM_READS = 2000.0
DUTIES = 2
HEADER_BYTES = 132
DAY_S = 86_400.0


def main(argv: list[str]) -> None:
    """Print slopes, roles and the platform's load."""
    began = time.monotonic()
    load = psutil.getloadavg()[0]
    print(f"load average {load:.1f} on {psutil.cpu_count()} cores\n")
    found = [*capacity_parts.slopes(), *capacity_duties.slopes()]
    if PROCESSES.value:
        found += capacity_processes.slopes()
    print(HEAD)
    for slope in found:
        print(slope.row())
    by_name = {slope.name: slope for slope in found}
    counts = capacity_duties.table_counts()
    print("\n| act | table reads | commits |\n|---|---|---|")
    for name, (reads, commits) in counts.items():
        print(f"| {name} | {reads} | {commits} |")
    _roles(by_name)
    _platform(counts)
    print(f"\ntook {time.monotonic() - began:.0f} s")


def _roles(slopes: dict[str, Slope]) -> None:
    print("\n| role | part | figure | limit |\n|---|---|---|---|")
    instances = ENTRIES.value + AGENTS.value
    per_entry = REQUESTS.value / ENTRIES.value
    if PROCESSES.value:
        _entry(slopes, instances, per_entry)
        _agent(slopes)
    listed = slopes["instance list, bytes"].at(instances)
    interval_s = _default(Settings, "instances_interval_s")
    _row("entry", "instance list", listed / interval_s, "B/s", LIMIT_BYTES)
    ranks = RANKS.value
    work = slopes["ranks' reports, bytes/s"]
    read = slopes["ranks' reports read, a second"].at(ranks)
    decided = slopes["decision of a group"].at(ranks)
    _row("coordinator", "ranks' reports", work.at(ranks), "B/s", LIMIT_BYTES)
    _row("coordinator", "reports and decisions", read + decided, "ms/s", LIMIT_CPU_MS)
    held = ACCELERATORS.value / AGENTS.value
    each = work.fit()[0] * held
    _row("agent", f"reports of {held:g} ranks", each, "B/s", LIMIT_BYTES)
    teams = TEAMS.value
    often = CHANGES.value / SNAPSHOT_EVERY_CHANGES / DAY_S
    size = slopes["snapshot, bytes"].at(teams) * often
    _row("snapshot keeper", "snapshots", size, "B/s", LIMIT_BYTES)
    spent = slopes["snapshot encoded"].at(teams) * often
    _row("snapshot keeper", "snapshots", spent, "ms/s", LIMIT_CPU_MS)
    page = slopes["a page of claims looked at"].at(500) / CLEANUP_INTERVAL_S
    _row("janitor", "pages of 500 claims", page, "ms/s", LIMIT_CPU_MS)


def _entry(slopes: dict[str, Slope], instances: int, per_entry: float) -> None:
    idle = slopes["idle entry, processor time"].at(instances)
    chosen = slopes["choice of an upstream"].at(AGENTS.value) * per_entry
    reports = AGENTS.value * REPORTS_PER_S / ENTRIES.value + per_entry
    read = slopes["load reports read"].fit()[0] * reports
    asked = TEAMS.value / ENTRIES.value / _default(Entry, "address_ttl_s")
    told = slopes["answer of addresses"].at(ENTRIES.value) * asked
    for part, cost in (
        ("idle", idle),
        ("choices", chosen),
        (f"{reports:.1f} load reports/s", read),
        (f"{asked:.1f} address answers/s, without HTTP", told),
        ("processor time in all", idle + chosen + read + told),
    ):
        _row("entry", part, cost, "ms/s", LIMIT_CPU_MS)
    memory = slopes["idle entry, memory"].at(instances)
    links = slopes["idle agent, memory"].fit()[0] * AGENTS.value
    _row("entry", "memory with a link to each agent", memory + links, "MB", LIMIT_MB)
    sent = slopes["idle entry, sent to others"].at(instances)
    _row("entry", "sent to others, without headers", sent, "B/s", LIMIT_BYTES)


def _agent(slopes: dict[str, Slope]) -> None:
    entries = ENTRIES.value
    cost = slopes["idle agent, processor time"].at(entries)
    _row("agent", "idle", cost, "ms/s", LIMIT_CPU_MS)
    memory = slopes["idle agent, memory"].at(entries)
    _row("agent", "memory", memory, "MB", LIMIT_MB)
    report = capacity_parts.report_bytes()
    ended = REQUESTS.value / AGENTS.value * report
    timed = REPORTS_PER_S * (report + HEADER_BYTES)
    _row("agent", "load reports, with headers", ended + timed, "B/s", LIMIT_BYTES)
    before = entries / _default(Agent, "load_interval_s") * (report + HEADER_BYTES)
    _row("agent", "the same without the bound", before, "B/s", LIMIT_BYTES)


def _platform(counts: dict[str, tuple[int, int]]) -> None:
    entries, groups = ENTRIES.value, ACCELERATORS.value / RANKS.value
    polls = entries / _default(Settings, "config_interval_s")
    beats_s = LEASE_TTL_S / RENEWALS_PER_TTL
    duty_beats_s = DUTY_TTL_S / RENEWALS_PER_TTL
    looks = DUTIES * MAX_CANDIDATES / duty_beats_s
    looks += groups * MAX_CANDIDATES / beats_s
    everywhere = groups * entries / beats_s
    lists = entries / _default(Settings, "instances_interval_s")
    pages = counts["page of claims"][0] / CLEANUP_INTERVAL_S
    renewed = DUTIES / duty_beats_s + groups / beats_s
    print("\n| platform | a second | limit |\n|---|---|---|")
    for name, value, limit in (
        ("table reads: polls of changes by entries", polls, PLATFORM_READS),
        ("table reads: looks at leases", looks, PLATFORM_READS),
        ("table reads: pages of claims", pages, PLATFORM_READS),
        ("table reads in all", polls + looks + pages, PLATFORM_READS),
        ("looks if every entry stands for every group", everywhere, PLATFORM_READS),
        ("table commits: renewals of leases", renewed, 300.0),
        ("table commits: changes", CHANGES.value / DAY_S, 300.0),
        ("reads of the instance list", lists, PLATFORM_READS),
    ):
        print(f"| {name} | {value:.3g} | {limit:g} |")


def _default(model: type, name: str) -> float:
    return model.model_fields[name].default


def _row(role: str, part: str, value: float, unit: str, limit: float) -> None:
    print(f"| {role} | {part} | {value:.4g} {unit} | {limit:g} |")


if __name__ == "__main__":
    app.run(main)
