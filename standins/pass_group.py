"""In-memory lock-step group whose ranks switch maps at the start of a forward pass.

Each rank has an engine that implements `RankEngine`. Orders may be lost or delayed,
at random or by a test. Starting a pass on different maps raises `MixedMaps`. Where the
platform's page leaves a rule open, an option selects it.
"""

import random
from dataclasses import dataclass, field, replace

import numpy as np

from toucanspool.groups.expert_map import EMPTY
from toucanspool.groups.rank_engine import (
    UNSET,
    ExpertCounts,
    OrderLost,
    OrderRefused,
    RankState,
)

GROUP = "g"
# Orders that increase an engine's sequence: as measured, as in the page, and as engines
# do that guard only against another map.
COUNTS_NONE: frozenset[str] = frozenset()
COUNTS_ALL = frozenset({"prepare", "arm", "disarm", "hold", "go"})
COUNTS_PREPARE = frozenset({"prepare"})


class MixedMaps(AssertionError):
    """Report a pass that started with ranks on different maps."""


@dataclass(slots=True)
class DelayedOrder:
    """Hold an order that is executed after ``ticks`` further ticks."""

    ticks: int
    rank: int
    name: str
    args: tuple


@dataclass(slots=True)
class RankRow:
    """Hold the state of one rank.

    Maps are pairs of a version and the encoded experts. ``armed`` is the version to
    switch to and the pass at which to switch; ``held`` is the pass that must not start.
    """

    map: tuple[int, bytes] = (0, b"")
    newest: int = 0
    prepared: tuple[int, bytes] | None = None
    copying: tuple[int, bytes] | None = None
    armed: tuple[int, int] | None = None
    held: int | None = None
    sequence: int = 0
    counts: np.ndarray = field(default_factory=lambda: np.zeros((1, 4), dtype=int))


class PassGroup:
    """Run the forward passes of a group and execute orders to its ranks.

    Parameters
    ----------
    size : int
        Number of ranks.
    rng : random.Random
        Random source of lost and delayed orders.
    lost_share, delayed_share : float, default=0.0
        Fractions of the orders that are lost, or executed later.
    counted : frozenset of str, default={"prepare"}
        Names of the orders that increase the sequence when they change something. The
        platform's page counts all, and engines were measured that count none of these.
    disarms_any : bool, default=False
        Whether an order to disarm takes back any armed version, or only its own.
    spare : int, optional
        The most experts that a map may add to a rank in one layer set.

    Attributes
    ----------
    mixed : list of int
        The passes that began on different maps.
    maps : dict of int to bytes
        The first map that a rank accepted under each version.
    reused : set of int
        Versions under which ranks accepted different maps.
    """

    def __init__(
        self,
        size: int,
        rng: random.Random,
        *,
        lost_share: float = 0.0,
        delayed_share: float = 0.0,
        counted: frozenset[str] = COUNTS_PREPARE,
        disarms_any: bool = False,
        spare: int | None = None,
    ) -> None:
        self.rows = [RankRow() for _ in range(size)]
        self.step = 0
        self.epoch = 1
        self.switches = 0
        self.lost_share = lost_share
        self.delayed_share = delayed_share
        self.mixed: list[int] = []
        self.maps: dict[int, bytes] = {}
        self.reused: set[int] = set()
        self._counted = counted
        self._disarms_any = disarms_any
        self._spare = spare
        self._rng = rng
        self._delayed: list[DelayedOrder] = []

    @property
    def held(self) -> bool:
        """Whether the next pass is held."""
        return any(row.held == self.step + 1 for row in self.rows)

    @property
    def delayed_orders(self) -> int:
        """Number of orders that are executed later."""
        return len(self._delayed)

    def engine(self, rank: int) -> "PassEngine":
        """Return the engine of a rank."""
        return PassEngine(self, rank)

    def tick(self, *, busy: bool = True) -> None:
        """Finish copies, execute delayed orders that are due, and start the next pass.

        Parameters
        ----------
        busy : bool, default=True
            Whether there is work; an idle group starts no pass.
        """
        for row in self.rows:
            if row.copying is not None:
                row.prepared, row.copying = row.copying, None
        for order in list(self._delayed):
            order.ticks -= 1
            if order.ticks <= 0:
                self._delayed.remove(order)
                try:
                    self.execute(order.rank, order.name, order.args)
                except OrderRefused:
                    continue
        if busy and not self.held:
            self._start_pass()

    def order(self, rank: int, name: str, *args: object) -> None:
        """Execute an order, or lose or delay it at random."""
        sample = self._rng.random()
        if sample < self.lost_share:
            raise OrderLost("injected fault: order lost")
        if sample < self.lost_share + self.delayed_share:
            ticks = self._rng.randrange(1, 60)
            self._delayed.append(DelayedOrder(ticks, rank, name, args))
            raise OrderLost("injected fault: order delayed")
        self.execute(rank, name, args)

    def execute(self, rank: int, name: str, args: tuple) -> None:
        """Execute an order, or raise `OrderRefused`."""
        row = self.rows[rank]
        before = replace(row)
        getattr(self, f"_{name}")(row, *args)
        if name in self._counted and row != before:
            row.sequence += 1

    def _prepare(self, row: RankRow, version: int, experts: bytes) -> None:
        if (version, experts) in (row.prepared, row.copying):
            return
        if version <= row.newest or row.armed is not None:
            raise OrderRefused("prepare: version is not newer, or a switch is armed")
        if self._spare is not None and self._n_new(row, experts) > self._spare:
            raise OrderRefused("prepare: too many experts are new")
        if self.maps.setdefault(version, experts) != experts:
            self.reused.add(version)
        row.newest = version
        row.prepared = None
        row.copying = (version, experts)

    def _arm(self, row: RankRow, version: int, step: int, sequence: int) -> None:
        if row.armed == (version, step):
            return
        if row.sequence != sequence:
            raise OrderRefused("arm: sequence does not match")
        if row.prepared is None or row.prepared[0] != version or step <= self.step:
            raise OrderRefused("arm: map is not prepared, or the pass has started")
        row.armed = (version, step)

    def _disarm(self, row: RankRow, version: int, sequence: int) -> None:
        if row.map[0] == version or row.sequence != sequence:
            raise OrderRefused("disarm: map is in use, or sequence does not match")
        if self._disarms_any or (row.armed and row.armed[0] == version):
            row.armed = None

    def _hold(self, row: RankRow, step: int) -> None:
        if step <= self.step or row.held not in (None, step):
            raise OrderRefused("hold: the pass has started, or another one is held")
        row.held = step

    def _go(self, row: RankRow, step: int) -> None:
        if row.held == step:
            row.held = None

    def _n_new(self, row: RankRow, experts: bytes) -> int:
        """Return the largest number of experts in a set that a map adds to a rank."""
        rank = next(i for i, other in enumerate(self.rows) if other is row)
        held = self.engine(rank).experts()
        planned = self._lists(experts)[:, rank]
        return max(
            len(set(new[new != EMPTY].tolist()) - set(old))
            for new, old in zip(planned, held, strict=True)
        )

    def _lists(self, experts: bytes) -> np.ndarray:
        sets = self.rows[0].counts.shape[0]
        lists = np.frombuffer(experts, dtype=np.int16)
        return lists.reshape(sets, len(self.rows), -1)

    def _start_pass(self) -> None:
        self.step += 1
        for row in self.rows:
            if row.armed is not None and row.armed[1] == self.step:
                assert row.prepared is not None
                row.map, row.prepared, row.armed = row.prepared, None, None
        maps = {row.map for row in self.rows}
        if len(maps) > 1:
            self.mixed.append(self.step)
            raise MixedMaps(f"pass {self.step} started on {len(maps)} maps")


class PassEngine:
    """Forward one rank's orders to a `PassGroup`; implements `RankEngine`.

    Parameters
    ----------
    group : PassGroup
        The group that the rank belongs to.
    rank : int
        Number of the rank.
    """

    def __init__(self, group: PassGroup, rank: int) -> None:
        self._group = group
        self._rank = rank

    def state(self) -> RankState:
        """Return the rank's state."""
        group, row = self._group, self._group.rows[self._rank]
        return RankState(
            group=GROUP,
            epoch=group.epoch,
            rank=self._rank,
            size=len(group.rows),
            open=True,
            step=group.step,
            map_version=row.map[0],
            prepared=row.prepared[0] if row.prepared else UNSET,
            armed=row.armed[0] if row.armed else UNSET,
            armed_step=row.armed[1] if row.armed else UNSET,
            held=UNSET if row.held is None else row.held,
            sequence=row.sequence,
        )

    def expert_counts(self) -> ExpertCounts:
        """Return how often the router selected each expert."""
        return ExpertCounts(
            self._group.epoch, self._group.rows[self._rank].counts.copy()
        )

    def experts(self) -> list[list[int]]:
        """Return this rank's experts by layer set."""
        version, data = self._group.rows[self._rank].map
        if not version:
            shape = self._group.rows[self._rank].counts.shape
            ranks = len(self._group.rows)
            default_experts = [e for e in range(shape[1]) if e % ranks == self._rank]
            return [default_experts for _ in range(shape[0])]
        lists = self._group._lists(data)[:, self._rank]
        return [[int(e) for e in row if e != EMPTY] for row in lists]

    def prepare(self, version: int, experts: np.ndarray, epoch: int) -> None:
        """Start to copy the experts of a map."""
        self._send_order(epoch, "prepare", version, experts.astype(np.int16).tobytes())

    def arm(self, version: int, step: int, epoch: int, *, sequence: int) -> None:
        """Arm the switch to a prepared map at the start of a pass."""
        self._send_order(epoch, "arm", version, step, sequence)

    def disarm(self, version: int, epoch: int, *, sequence: int) -> None:
        """Cancel an armed switch."""
        self._send_order(epoch, "disarm", version, sequence)

    def hold(self, step: int, epoch: int) -> None:
        """Keep the group from starting a pass."""
        self._send_order(epoch, "hold", step)

    def go(self, step: int, epoch: int) -> None:
        """Release a held pass."""
        self._send_order(epoch, "go", step)

    def _send_order(self, epoch: int, name: str, *args: object) -> None:
        if epoch != self._group.epoch:
            raise OrderRefused("epoch does not match")
        self._group.order(self._rank, name, *args)
