"""Estimate the cost of each role at full size from costs measured at smaller sizes.

``python -m bench.capacity`` measures each cost at three sizes, fits a line and
extrapolates the state, messages, processor time and memory of each role, and the
platform's reads and writes. ``--noprocesses`` skips the costs of real processes.
"""

from gevent import monkey

monkey.patch_all()

import time

import psutil
from absl import app, flags

from bench import capacity_duties, capacity_parts, capacity_processes
from bench.capacity_fit import TABLE_HEADER, Slope
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

MAX_CPU_MS_PER_S = 14.0
MAX_MEMORY_MB = 256.0
MAX_BYTES_PER_S = 3000.0
MAX_READS_PER_S = 2000.0
ELECTED_DUTIES = 2
# Ethernet, IP and TCP headers of a message and of its acknowledgement.
HEADER_BYTES = 132
DAY_S = 86_400.0


def main(argv: list[str]) -> None:
    """Print the fitted lines, the cost of each role and the platform's load."""
    began = time.monotonic()
    load_average = psutil.getloadavg()[0]
    print(f"load average {load_average:.1f} on {psutil.cpu_count()} cores\n")
    measured = [*capacity_parts.slopes(), *capacity_duties.slopes()]
    if PROCESSES.value:
        measured += capacity_processes.slopes()
    print(TABLE_HEADER)
    for slope in measured:
        print(slope.row())
    by_name = {slope.name: slope for slope in measured}
    counts = capacity_duties.table_counts()
    print("\n| act | table reads | commits |\n|---|---|---|")
    for name, (reads, commits) in counts.items():
        print(f"| {name} | {reads} | {commits} |")
    _print_roles(by_name)
    _print_platform(counts)
    print(f"\ntook {time.monotonic() - began:.0f} s")


def _print_roles(slopes: dict[str, Slope]) -> None:
    print("\n| role | part | figure | limit |\n|---|---|---|---|")
    instances = ENTRIES.value + AGENTS.value
    requests_per_entry = REQUESTS.value / ENTRIES.value
    if PROCESSES.value:
        _print_entry(slopes, instances, requests_per_entry)
        _print_agent(slopes)
    list_bytes = slopes["instance list, bytes"].cost_at(instances)
    interval_s = _default_setting(Settings, "instances_interval_s")
    _print_row(
        "entry", "instance list", list_bytes / interval_s, "B/s", MAX_BYTES_PER_S
    )
    ranks = RANKS.value
    report_slope = slopes["ranks' reports, bytes/s"]
    read_ms = slopes["ranks' reports read, a second"].cost_at(ranks)
    decision_ms = slopes["decision of a group"].cost_at(ranks)
    _print_row(
        "coordinator",
        "ranks' reports",
        report_slope.cost_at(ranks),
        "B/s",
        MAX_BYTES_PER_S,
    )
    _print_row(
        "coordinator",
        "reports and decisions",
        read_ms + decision_ms,
        "ms/s",
        MAX_CPU_MS_PER_S,
    )
    ranks_per_agent = ACCELERATORS.value / AGENTS.value
    agent_bytes = report_slope.fit()[0] * ranks_per_agent
    _print_row(
        "agent",
        f"reports of {ranks_per_agent:g} ranks",
        agent_bytes,
        "B/s",
        MAX_BYTES_PER_S,
    )
    teams = TEAMS.value
    snapshots_per_s = CHANGES.value / SNAPSHOT_EVERY_CHANGES / DAY_S
    snapshot_bytes = slopes["snapshot, bytes"].cost_at(teams) * snapshots_per_s
    _print_row("snapshot keeper", "snapshots", snapshot_bytes, "B/s", MAX_BYTES_PER_S)
    encode_ms = slopes["snapshot encoded"].cost_at(teams) * snapshots_per_s
    _print_row("snapshot keeper", "snapshots", encode_ms, "ms/s", MAX_CPU_MS_PER_S)
    page_ms = slopes["a page of claims looked at"].cost_at(500) / CLEANUP_INTERVAL_S
    _print_row("janitor", "pages of 500 claims", page_ms, "ms/s", MAX_CPU_MS_PER_S)


def _print_entry(
    slopes: dict[str, Slope], instances: int, requests_per_entry: float
) -> None:
    idle_ms = slopes["idle entry, processor time"].cost_at(instances)
    choice_ms = (
        slopes["choice of an upstream"].cost_at(AGENTS.value) * requests_per_entry
    )
    reports_per_s = AGENTS.value * REPORTS_PER_S / ENTRIES.value + requests_per_entry
    read_ms = slopes["load reports read"].fit()[0] * reports_per_s
    address_requests_per_s = (
        TEAMS.value / ENTRIES.value / _default_setting(Entry, "address_ttl_s")
    )
    address_ms = (
        slopes["answer of addresses"].cost_at(ENTRIES.value) * address_requests_per_s
    )
    for part, cost in (
        ("idle", idle_ms),
        ("choices", choice_ms),
        (f"{reports_per_s:.1f} load reports/s", read_ms),
        (f"{address_requests_per_s:.1f} address answers/s, without HTTP", address_ms),
        ("processor time in all", idle_ms + choice_ms + read_ms + address_ms),
    ):
        _print_row("entry", part, cost, "ms/s", MAX_CPU_MS_PER_S)
    memory = slopes["idle entry, memory"].cost_at(instances)
    link_memory = slopes["idle agent, memory"].fit()[0] * AGENTS.value
    _print_row(
        "entry",
        "memory with a link to each agent",
        memory + link_memory,
        "MB",
        MAX_MEMORY_MB,
    )
    sent_bytes = slopes["idle entry, sent to others"].cost_at(instances)
    _print_row(
        "entry", "sent to others, without headers", sent_bytes, "B/s", MAX_BYTES_PER_S
    )


def _print_agent(slopes: dict[str, Slope]) -> None:
    entries = ENTRIES.value
    cost = slopes["idle agent, processor time"].cost_at(entries)
    _print_row("agent", "idle", cost, "ms/s", MAX_CPU_MS_PER_S)
    memory = slopes["idle agent, memory"].cost_at(entries)
    _print_row("agent", "memory", memory, "MB", MAX_MEMORY_MB)
    report_bytes = capacity_parts.report_bytes()
    request_bytes = REQUESTS.value / AGENTS.value * report_bytes
    timer_bytes = REPORTS_PER_S * (report_bytes + HEADER_BYTES)
    _print_row(
        "agent",
        "load reports, with headers",
        request_bytes + timer_bytes,
        "B/s",
        MAX_BYTES_PER_S,
    )
    unbounded_bytes = (
        entries
        / _default_setting(Agent, "load_interval_s")
        * (report_bytes + HEADER_BYTES)
    )
    _print_row(
        "agent", "the same without the bound", unbounded_bytes, "B/s", MAX_BYTES_PER_S
    )


def _print_platform(counts: dict[str, tuple[int, int]]) -> None:
    entries, groups = ENTRIES.value, ACCELERATORS.value / RANKS.value
    change_polls = entries / _default_setting(Settings, "config_interval_s")
    renewal_interval_s = LEASE_TTL_S / RENEWALS_PER_TTL
    duty_renewal_interval_s = DUTY_TTL_S / RENEWALS_PER_TTL
    lease_reads = ELECTED_DUTIES * MAX_CANDIDATES / duty_renewal_interval_s
    lease_reads += groups * MAX_CANDIDATES / renewal_interval_s
    all_entries_lease_reads = groups * entries / renewal_interval_s
    list_reads = entries / _default_setting(Settings, "instances_interval_s")
    claim_page_reads = counts["page of claims"][0] / CLEANUP_INTERVAL_S
    lease_commits = (
        ELECTED_DUTIES / duty_renewal_interval_s + groups / renewal_interval_s
    )
    print("\n| platform | a second | limit |\n|---|---|---|")
    for name, value, limit in (
        ("table reads: polls of changes by entries", change_polls, MAX_READS_PER_S),
        ("table reads: looks at leases", lease_reads, MAX_READS_PER_S),
        ("table reads: pages of claims", claim_page_reads, MAX_READS_PER_S),
        (
            "table reads in all",
            change_polls + lease_reads + claim_page_reads,
            MAX_READS_PER_S,
        ),
        (
            "looks if every entry stands for every group",
            all_entries_lease_reads,
            MAX_READS_PER_S,
        ),
        ("table commits: renewals of leases", lease_commits, 300.0),
        ("table commits: changes", CHANGES.value / DAY_S, 300.0),
        ("reads of the instance list", list_reads, MAX_READS_PER_S),
    ):
        print(f"| {name} | {value:.3g} | {limit:g} |")


def _default_setting(model: type, name: str) -> float:
    return model.model_fields[name].default


def _print_row(role: str, part: str, value: float, unit: str, limit: float) -> None:
    print(f"| {role} | {part} | {value:.4g} {unit} | {limit:g} |")


if __name__ == "__main__":
    app.run(main)
