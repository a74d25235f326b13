"""Measure the cost and gain of map switches: ``python -m bench.calm_switches``.

The coordinator and the agents are the real code in one process, and all ranks work.
Messages take the coordinator's link and processor one after the other, engines are the
stand-in, passes follow the wall clock, and other experts are in demand every few
seconds. A held pass begins as it is released, so that the table shows how long the
group stood still, beside the skew before and after the switches.
"""

import random
import statistics
import time
from dataclasses import dataclass, field

import gevent
import numpy as np
from absl import app, flags
from structlog.testing import capture_logs

from standins.pass_group import GROUP, PassEngine, PassGroup
from toucanspool.groups.fenced_engine import FencedEngine
from toucanspool.groups.map_coordinator import MapCoordinator
from toucanspool.routing.routes import EngineModel
from toucanspool.wire.codec import encode
from toucanspool.wire.gen.messages.ttypes import Frame, RankAnswer, RankAsk

RANKS = flags.DEFINE_list("switch_ranks", ["12", "32", "72", "128"], "Group sizes.")
PASS_MS = flags.DEFINE_float("switch_pass_ms", 40.0, "Time of a pass.")
SECONDS = flags.DEFINE_float("switch_seconds", 15.0, "Duration for each size.")

LAYER_SETS, EXPERT_SLOTS, COPIES_PER_SET = 12, 3, 2
LINK_BITS_PER_S = 8e6
LATENCY_S = 0.0015
ENGINE_CALL_S = 0.001
HANDLING_S = 0.0005
SHIFT_S = 2.6
RUN_INTERVAL_S = 0.2
HOT_SHARE = 0.1
COLUMNS = (
    "ranks",
    "switches",
    "took, median ms",
    "held pass: order to release, median ms",
    "group waited, ms in all",
    "longest wait, ms",
    "skew before, mean",
    "after",
)


class SlowEngine(PassEngine):
    """Engine of a rank that takes some time for each call."""

    def state(self):
        """Return the rank's state."""
        gevent.sleep(ENGINE_CALL_S)
        return super().state()

    def _send_order(self, epoch: int, name: str, *args: object) -> None:
        gevent.sleep(ENGINE_CALL_S)
        super()._send_order(epoch, name, *args)


@dataclass(slots=True)
class Coordinator:
    """Receive messages one after the other, over one link and with one processor."""

    free_at: float = 0.0

    def receive(self, n_bytes: int) -> None:
        """Wait until a message of this size has been received and handled."""
        now = time.monotonic()
        duration_s = 8.0 * n_bytes / LINK_BITS_PER_S + HANDLING_S
        self.free_at = max(self.free_at, now) + duration_s
        gevent.sleep(self.free_at - now)


@dataclass(slots=True)
class Link:
    """Send requests to the agent of one rank; implements `RankLink`."""

    agent: FencedEngine
    coordinator: Coordinator

    def send(self, request: RankAsk, *, transfer_s: float = 0.0) -> RankAnswer:
        """Return the agent's answer."""
        gevent.sleep(LATENCY_S)
        answer = self.agent.answer(request)
        gevent.sleep(LATENCY_S)
        self.coordinator.receive(len(encode(Frame(rank_answer=answer))))
        return answer


@dataclass(slots=True)
class Passes:
    """Begin the passes of a group, and record how long it waited for each."""

    group: PassGroup
    waits_s: list[float] = field(default_factory=list)

    def run(self, pass_s: float) -> None:
        """Begin a pass after another, without end."""
        rng = np.random.default_rng(1)
        started = time.monotonic()
        while True:
            gevent.sleep(pass_s)
            due = time.monotonic()
            while self.group.held:
                gevent.sleep(0.0005)
            self.waits_s.append(time.monotonic() - due)
            hot = int((due - started) / SHIFT_S)
            for row in self.group.rows:
                row.counts = row.counts + _picks(rng, hot, row.counts.shape)
            self.group.tick()


def _picks(rng: np.random.Generator, hot: int, shape: tuple[int, int]) -> np.ndarray:
    weights = np.random.default_rng(hot).exponential(size=shape) + HOT_SHARE
    return rng.poisson(40 * weights / weights.sum(axis=1, keepdims=True))


def measure(ranks: int) -> list[str]:
    """Return a row of the table."""
    model = EngineModel(
        slots=5,
        step_base_s=0.006,
        step_per_request_s=0.0004,
        prefill_tokens_per_s=60_000.0,
        steps_per_pass=6,
        mean_prompt_tokens=800.0,
        mean_answer_tokens=130.0,
        layer_sets=LAYER_SETS,
        experts=2 * ranks,
        expert_slots=EXPERT_SLOTS,
        copies_per_set=COPIES_PER_SET,
        expert_copy_s=0.01,
    )
    group = PassGroup(ranks, random.Random(1), spare=COPIES_PER_SET)
    machine = Coordinator()
    links = {}
    for rank, row in enumerate(group.rows):
        row.counts = np.zeros((LAYER_SETS, model.experts), dtype=int)
        agent = FencedEngine(SlowEngine(group, rank))
        agent.restore(0)
        links[rank] = Link(agent, machine)
    coordinator = MapCoordinator(
        GROUP, 1, 0, lambda: model, link_bits_per_s=LINK_BITS_PER_S
    )
    passes = Passes(group)
    task = gevent.spawn(passes.run, PASS_MS.value / 1000)
    end = time.monotonic() + SECONDS.value
    with capture_logs() as lines:
        while time.monotonic() < end:
            started = time.monotonic()
            coordinator.run_once(links)
            gevent.sleep(max(0.01, RUN_INTERVAL_S - (time.monotonic() - started)))
    task.kill()
    plans = [line for line in lines if line["event"] == "map planned"]
    ends = [line for line in lines if line["event"] == "map switch ended"]
    waits_ms = [1000 * wait_s for wait_s in passes.waits_s if wait_s > 0.001]
    return [
        str(ranks),
        str(len(ends)),
        f"{statistics.median(line['took_ms'] for line in ends):.0f}",
        f"{statistics.median(line.get('held_ms', 0) for line in ends):.0f}",
        f"{sum(waits_ms):.0f}",
        f"{max(waits_ms, default=0.0):.0f}",
        f"{statistics.mean(line['skew'] for line in plans):.2f}",
        f"{statistics.mean(line['skew_after'] for line in plans):.2f}",
    ]


def main(argv: list[str]) -> None:
    """Print the table."""
    del argv
    print("| " + " | ".join(COLUMNS) + " |")
    print("| --- " * len(COLUMNS) + "|")
    for ranks in RANKS.value:
        print("| " + " | ".join(measure(int(ranks))) + " |", flush=True)


if __name__ == "__main__":
    app.run(main)
