"""Measure balance, stability and failure domains of address answers at full size.

``python -m bench.addresses``: requests per team follow Zipf's law, and each team
spreads its requests over the entries of its address answer. The table shows the load
of the busiest entry over the mean, the teams that are moved when an instance leaves
or joins, and the failure domains of each answer, for several methods of choosing the
number of entries per team. ``--share_errors=2`` adds errors of up to a factor of two
to the teams' shares.
"""

import math
import random
from collections.abc import Callable
from dataclasses import replace

import numpy as np
from absl import app, flags

from bench.entry_count import entry_count
from toucanspool.backing.instances import ROLE_ENTRY, STATE_LEAVING, Instance
from toucanspool.membership.addresses import pick_entries, team_entry_count

ENTRIES = flags.DEFINE_integer("entries", 370, "Entries.")
TEAMS = flags.DEFINE_integer("teams", 4500, "Teams.")
DOMAINS = flags.DEFINE_integer("domains", 8, "Failure domains.")
ZIPF = flags.DEFINE_float("zipf", 1.0, "Exponent of the teams' requests by rank.")
LEAST = flags.DEFINE_integer("least", 3, "Entries of a small team.")
ERRORS = flags.DEFINE_float("share_errors", 1.0, "Factor that shares are off by.")
SEEDS = flags.DEFINE_list("seeds", ["1", "2", "3", "4", "5"], "Seeds.")

EntryCount = Callable[[float], int]


def main(argv: list[str]) -> None:
    """Print the table."""
    base = LEAST.value
    methods: dict[str, EntryCount | None] = {
        f"{base} entries each": lambda share: base,
        "by share label": lambda share: team_entry_count(share, base),
        "by part of all shares": None,
        "all entries": lambda share: ENTRIES.value,
    }
    print(
        "| way | busiest entry over mean | p99 over mean | moved when one goes |"
        " moved when one comes | most changed in an answer | least domains |"
        " leaving picked | entries per team, mean | entries of the largest |"
    )
    print("|" + "---|" * 10)
    for name, count in methods.items():
        runs = np.array([_run(count, int(seed)) for seed in SEEDS.value])
        cells = [_cell(runs[:, column]) for column in range(runs.shape[1])]
        print(f"| {name} | {' | '.join(cells)} |", flush=True)


def _cell(values: np.ndarray) -> str:
    median, low, high = np.median(values), values.min(), values.max()
    return f"{median:.3g} ({low:.3g} to {high:.3g})"


def _run(count: EntryCount | None, seed: int) -> list[float]:
    rng = random.Random(seed)
    entries = [_make_entry(n, seed) for n in range(ENTRIES.value)]
    requests = np.arange(1, TEAMS.value + 1) ** -ZIPF.value
    requests /= requests.sum()
    median_requests = float(np.median(requests))
    max_log_error = math.log(ERRORS.value)
    shares = [
        r / median_requests * math.exp(rng.uniform(-max_log_error, max_log_error))
        for r in requests
    ]
    total = sum(shares)
    if count is None:
        counts = [
            entry_count(s, total, len(entries), min_entries=LEAST.value) for s in shares
        ]
    else:
        counts = [count(share) for share in shares]
    answers = _answers(entries, counts)
    load = dict.fromkeys((entry.name for entry in entries), 0.0)
    for fraction, names in zip(requests, answers, strict=True):
        for name in names:
            load[name] += fraction / len(names)
    values = np.array(list(load.values())) * ENTRIES.value
    leaving = rng.choice(entries)
    entries_after = [
        replace(e, state=STATE_LEAVING) if e == leaving else e for e in entries
    ]
    answers_without = _answers(entries_after, counts)
    answers_with = _answers([*entries, _make_entry(ENTRIES.value, seed)], counts)
    domain = {entry.name: entry.failure_domain for entry in entries}
    return [
        values.max(),
        float(np.percentile(values, 99)),
        _moved_fraction(answers, answers_without),
        _moved_fraction(answers, answers_with),
        max(
            _changed_count(a, b) for a, b in zip(answers, answers_without, strict=True)
        ),
        min(len({domain[name] for name in names}) for names in answers),
        sum(leaving.name in names for names in answers_without),
        float(np.mean([len(names) for names in answers])),
        len(answers[0]),
    ]


def _make_entry(number: int, seed: int) -> Instance:
    domain = f"domain-{number % DOMAINS.value}"
    name = f"entry-{seed}-{number}"
    return Instance(name, ROLE_ENTRY, domain, "one", "10.0.0.1", 1, 2)


def _answers(entries: list[Instance], counts: list[int]) -> list[list[str]]:
    return [
        [entry.name for entry in pick_entries(f"team-{n}", entries, count)]
        for n, count in enumerate(counts)
    ]


def _changed_count(before: list[str], after: list[str]) -> int:
    return len(set(before) - set(after))


def _moved_fraction(before: list[list[str]], after: list[list[str]]) -> float:
    answers = zip(before, after, strict=True)
    return sum(set(a) != set(b) for a, b in answers) / len(before)


if __name__ == "__main__":
    app.run(main)
