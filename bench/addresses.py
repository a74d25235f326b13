"""How even, steady and spread out the address answers are, at full size.

``python -m bench.addresses``: requests of teams follow Zipf's law; each team spreads
its requests over the entries that it is told. Printed are the load of the busiest
entry over the mean, the teams that an instance's going or coming moves, and the
failure domains of each answer, for three ways to decide how many entries a team
gets. ``python -m bench.addresses --share_errors=2`` lets operators misjudge shares.
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

Count = Callable[[float], int]


def main(argv: list[str]) -> None:
    """Print the table."""
    base = LEAST.value
    ways: dict[str, Count | None] = {
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
    for name, count in ways.items():
        runs = np.array([_run(count, int(seed)) for seed in SEEDS.value])
        cells = [_cell(runs[:, column]) for column in range(runs.shape[1])]
        print(f"| {name} | {' | '.join(cells)} |", flush=True)


def _cell(values: np.ndarray) -> str:
    middle, low, high = np.median(values), values.min(), values.max()
    return f"{middle:.3g} ({low:.3g} to {high:.3g})"


def _run(count: Count | None, seed: int) -> list[float]:
    rng = random.Random(seed)
    entries = [_entry(n, seed) for n in range(ENTRIES.value)]
    requests = np.arange(1, TEAMS.value + 1) ** -ZIPF.value
    requests /= requests.sum()
    usual = float(np.median(requests))
    off = math.log(ERRORS.value)
    shares = [r / usual * math.exp(rng.uniform(-off, off)) for r in requests]
    total = sum(shares)
    if count is None:
        counts = [
            entry_count(s, total, len(entries), least=LEAST.value) for s in shares
        ]
    else:
        counts = [count(share) for share in shares]
    answers = _answers(entries, counts)
    load = dict.fromkeys((entry.name for entry in entries), 0.0)
    for part, names in zip(requests, answers, strict=True):
        for name in names:
            load[name] += part / len(names)
    values = np.array(list(load.values())) * ENTRIES.value
    gone = rng.choice(entries)
    left = [replace(e, state=STATE_LEAVING) if e == gone else e for e in entries]
    after = _answers(left, counts)
    came = _answers([*entries, _entry(ENTRIES.value, seed)], counts)
    domain = {entry.name: entry.failure_domain for entry in entries}
    return [
        values.max(),
        float(np.percentile(values, 99)),
        _moved(answers, after),
        _moved(answers, came),
        max(_changed(a, b) for a, b in zip(answers, after, strict=True)),
        min(len({domain[name] for name in names}) for names in answers),
        sum(gone.name in names for names in after),
        float(np.mean([len(names) for names in answers])),
        len(answers[0]),
    ]


def _entry(number: int, seed: int) -> Instance:
    domain = f"domain-{number % DOMAINS.value}"
    name = f"entry-{seed}-{number}"
    return Instance(name, ROLE_ENTRY, domain, "one", "10.0.0.1", 1, 2)


def _answers(entries: list[Instance], counts: list[int]) -> list[list[str]]:
    return [
        [entry.name for entry in pick_entries(f"team-{n}", entries, count)]
        for n, count in enumerate(counts)
    ]


def _changed(before: list[str], after: list[str]) -> int:
    return len(set(before) - set(after))


def _moved(before: list[list[str]], after: list[list[str]]) -> float:
    pairs = zip(before, after, strict=True)
    return sum(set(a) != set(b) for a, b in pairs) / len(before)


if __name__ == "__main__":
    app.run(main)
