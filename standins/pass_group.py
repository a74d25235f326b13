"""A lock-step group in memory whose maps switch as a pass begins.

Each rank has an engine that implements `RankEngine`. Orders may be lost, or be carried
out later, by a script or at random. Beginning a pass on two maps raises `MixedMaps`.
"""

import random
from dataclasses import dataclass, field

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


class MixedMaps(AssertionError):
    """Report a pass that was begun on more than one map."""


@dataclass(slots=True)
class LateOrder:
    """Hold an order that is carried out after some more passes or ticks."""

    ticks: int
    rank: int
    name: str
    args: tuple


@dataclass(slots=True)
class RankRow:
    """Hold the state of one rank."""

    map: tuple[int, bytes] = (0, b"")
    newest: int = 0
    prepared: tuple[int, bytes] | None = None
    copying: tuple[int, bytes] | None = None
    armed: tuple[int, int] | None = None
    held: int | None = None
    sequence: int = 0
    counts: np.ndarray = field(default_factory=lambda: np.zeros((1, 4), dtype=int))


class PassGroup:
    """Hold all ranks of a group.

    Parameters
    ----------
    size : int
        Ranks.
    rng : random.Random
        Source of losses.
    lost_share, late_share : float, default=0.0
        Parts of the orders that are never, or only later, carried out.
    """

    def __init__(
        self,
        size: int,
        rng: random.Random,
        *,
        lost_share: float = 0.0,
        late_share: float = 0.0,
    ) -> None:
        self.rows = [RankRow() for _ in range(size)]
        self.step = 0
        self.epoch = 1
        self.switches = 0
        self.lost_share = lost_share
        self.late_share = late_share
        self._rng = rng
        self._late: list[LateOrder] = []

    @property
    def held(self) -> bool:
        """Whether the next pass is held."""
        return any(row.held == self.step + 1 for row in self.rows)

    def engine(self, rank: int) -> "PassEngine":
        """Return the engine of a rank."""
        return PassEngine(self, rank)

    def tick(self, *, busy: bool = True) -> None:
        """Finish copies, carry late orders out, and begin the next pass.

        Parameters
        ----------
        busy : bool, default=True
            Whether there is work; an idle group begins no pass.
        """
        for row in self.rows:
            if row.copying is not None:
                row.prepared, row.copying = row.copying, None
        for order in list(self._late):
            order.ticks -= 1
            if order.ticks <= 0:
                self._late.remove(order)
                try:
                    self.carry_out(order.rank, order.name, order.args)
                except OrderRefused:
                    continue
        if busy and not self.held:
            self._begin()

    def order(self, rank: int, name: str, *args: object) -> None:
        """Take an order, which may be lost or carried out late."""
        draw = self._rng.random()
        if draw < self.lost_share:
            raise OrderLost("lost")
        if draw < self.lost_share + self.late_share:
            ticks = self._rng.randrange(1, 60)
            self._late.append(LateOrder(ticks, rank, name, args))
            raise OrderLost("late")
        self.carry_out(rank, name, args)

    def carry_out(self, rank: int, name: str, args: tuple) -> None:
        """Carry an order out, or raise `OrderRefused`."""
        row = self.rows[rank]
        getattr(self, f"_{name}")(row, *args)

    def _prepare(self, row: RankRow, version: int, experts: bytes) -> None:
        if row.prepared == (version, experts) or row.copying == (version, experts):
            return
        if version <= row.newest or row.armed is not None:
            raise OrderRefused("prepare")
        row.newest = version
        row.sequence += 1
        row.prepared = None
        row.copying = (version, experts)

    def _arm(self, row: RankRow, version: int, step: int, sequence: int) -> None:
        if row.armed == (version, step):
            return
        if row.sequence != sequence:
            raise OrderRefused("arm")
        if row.prepared is None or row.prepared[0] != version or step <= self.step:
            raise OrderRefused("arm")
        row.armed = (version, step)

    def _disarm(self, row: RankRow, version: int, sequence: int) -> None:
        if row.map[0] == version or row.sequence != sequence:
            raise OrderRefused("disarm")
        # The pages leave open whether another version's switch is taken back as well.
        row.armed = None

    def _hold(self, row: RankRow, step: int) -> None:
        if step <= self.step or row.held not in (None, step):
            raise OrderRefused("hold")
        row.held = step

    def _go(self, row: RankRow, step: int) -> None:
        if row.held == step:
            row.held = None

    def _begin(self) -> None:
        self.step += 1
        for row in self.rows:
            if row.armed is not None and row.armed[1] == self.step:
                assert row.prepared is not None
                row.map, row.prepared, row.armed = row.prepared, None, None
        maps = {row.map for row in self.rows}
        if len(maps) > 1:
            raise MixedMaps(f"pass {self.step} began on {len(maps)} maps")


class PassEngine:
    """Give one rank's orders to a `PassGroup`; implements `RankEngine`.

    Parameters
    ----------
    group : PassGroup
        The group.
    rank : int
        The rank.
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
            held=UNSET if row.held is None else row.held,
            sequence=row.sequence,
        )

    def expert_counts(self) -> ExpertCounts:
        """Return the counts of chosen experts."""
        return ExpertCounts(
            self._group.epoch, self._group.rows[self._rank].counts.copy()
        )

    def experts(self) -> list[list[int]]:
        """Return this rank's experts."""
        version, data = self._group.rows[self._rank].map
        if not version:
            shape = self._group.rows[self._rank].counts.shape
            ranks = len(self._group.rows)
            dealt = [e for e in range(shape[1]) if e % ranks == self._rank]
            return [dealt for _ in range(shape[0])]
        ranks = len(self._group.rows)
        sets = self._group.rows[self._rank].counts.shape[0]
        lists = np.frombuffer(data, dtype=np.int16).reshape(sets, ranks, -1)
        return [[int(e) for e in row if e != EMPTY] for row in lists[:, self._rank]]

    def prepare(self, version: int, experts: np.ndarray, epoch: int) -> None:
        """Begin to copy the experts of a map."""
        self._order(epoch, "prepare", version, experts.astype(np.int16).tobytes())

    def arm(self, version: int, step: int, epoch: int, *, sequence: int) -> None:
        """Switch to a prepared map as a pass begins."""
        self._order(epoch, "arm", version, step, sequence)

    def disarm(self, version: int, epoch: int, *, sequence: int) -> None:
        """Take an armed switch back."""
        self._order(epoch, "disarm", version, sequence)

    def hold(self, step: int, epoch: int) -> None:
        """Keep the group from beginning a pass."""
        self._order(epoch, "hold", step)

    def go(self, step: int, epoch: int) -> None:
        """Let the group begin a pass that was held."""
        self._order(epoch, "go", step)

    def _order(self, epoch: int, name: str, *args: object) -> None:
        if epoch != self._group.epoch:
            raise OrderRefused("epoch")
        self._group.order(self._rank, name, *args)
