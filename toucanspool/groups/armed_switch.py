"""Switch of a lock-step group to another expert map, at the same pass on all ranks.

1. Prepare: every rank copies the experts of the new map while the group runs on.
2. Hold: one rank holds a future pass, so that the group can't begin it.
3. Arm: every rank is armed to switch at the start of that pass.
4. Go: once every rank has confirmed that it is armed, the held pass is released. If a
   rank can't be armed, all ranks are disarmed before the release.

An order may be carried out seconds late, and several coordinators may give orders at
the same time, since a replaced one doesn't know of it at once. Two rules make all of
them harmless, and the engines check both:

- A version is used once, for one map and one pass. A rank that has accepted a newer
  version refuses to be armed with an older one, so `fence` ends earlier switches.
- A pass is named once by the holds of an engine (`HoldGate`), so that an order to
  release it never releases another hold.

So ranks are disarmed only under a hold that no other coordinator releases: the one that
this switch placed, or, in `resolve`, a new one. What the ranks were seen to be before
doesn't matter.

The coordinator's own rank is fenced first and armed last. If its machine fails, another
coordinator can release the group: if its own rank accepts a version without having been
disarmed, the rank on the failed machine is not armed either.
"""

from collections.abc import Callable, Collection, Iterable, Mapping
from contextlib import AbstractContextManager, nullcontext
from enum import Enum

import structlog

from toucanspool.groups.expert_map import IntArray
from toucanspool.groups.group_client import GroupClient, Replaced
from toucanspool.groups.group_state import (
    armed_versions,
    is_complete,
    passes_to_hold,
)
from toucanspool.groups.map_preparation import MapPreparation, VersionedMap
from toucanspool.groups.map_versions import VersionSource, token_of_version
from toucanspool.groups.pass_holds import PassHolds
from toucanspool.groups.pass_wait import wait_for_pass
from toucanspool.groups.rank_arming import RankArming
from toucanspool.groups.rank_engine import UNSET
from toucanspool.groups.version_fence import fence_ranks
from toucanspool.wire.gen.messages.ttypes import RankAnswer

# Passes from the latest one to the held one: time to arm all ranks.
PASSES_AHEAD = 2

_log = structlog.get_logger()


class SwitchEnd(Enum):
    """Name the outcome of a switch; each value is the text in the log."""

    DONE = "all ranks switch as the pass begins"
    NOT_COPIED = "not all ranks have copied the experts in time"
    NOT_HELD = "the pass could not be held"
    NOT_ARMED = "not all ranks could be armed, and all are disarmed"


class ArmedSwitch:
    """Switch the expert map of one group on behalf of one coordinator.

    Parameters
    ----------
    client : GroupClient
        Sends the requests with the coordinator's token.
    epoch : int
        The group's epoch.
    ranks : iterable of int
        The ranks that can be reached.
    own_rank : int
        The rank on the coordinator's machine.
    passes_ahead : int, default=2
        Passes between the latest one and the held one.
    versions : VersionSource, optional
        Versions of the coordinator, if it has used some before.
    quiet_link : callable, default=nullcontext
        Returns a context manager that keeps other traffic off the coordinator's link;
        entered while a pass is held.

    Attributes
    ----------
    passes_ahead : int
        The argument of that name.
    arm_rounds : int
        Rounds of arm orders; two without lost orders, of the other ranks and the own.
    holds : PassHolds
        The latest holds that were released.
    """

    __slots__ = (
        "_client",
        "_epoch",
        "_own_rank",
        "_quiet_link",
        "_ranks",
        "_versions",
        "arm_rounds",
        "holds",
        "passes_ahead",
    )

    def __init__(
        self,
        client: GroupClient,
        epoch: int,
        ranks: Iterable[int],
        own_rank: int,
        *,
        passes_ahead: int = PASSES_AHEAD,
        versions: VersionSource | None = None,
        quiet_link: Callable[[], AbstractContextManager[None]] = nullcontext,
    ) -> None:
        self._client = client
        self._epoch = epoch
        self._ranks = frozenset(ranks)
        self._own_rank = own_rank
        self.passes_ahead = passes_ahead
        self._versions = versions or VersionSource(client.token)
        self._quiet_link = quiet_link
        self.arm_rounds = 0
        self.holds = self.new_holds()

    def next_version(self, answers: Mapping[int, RankAnswer]) -> int:
        """Return a version that no rank has seen and no other coordinator uses.

        Parameters
        ----------
        answers : mapping of int to RankAnswer
            The latest answer of each rank, given to this coordinator's token.

        Returns
        -------
        int

        Raises
        ------
        Replaced
            A rank has seen a version of a later coordinator.
        """
        newest = max(answer.newest_version for answer in answers.values())
        version = self._versions.next_above(newest)
        if token_of_version(version) > self._client.token:
            raise Replaced(f"version {newest} is in use", token_of_version(version))
        return version

    def run(
        self, new: VersionedMap, current: VersionedMap, copy_timeout_s: float
    ) -> SwitchEnd:
        """Switch the group to a map.

        Parameters
        ----------
        new, current : VersionedMap
            The new map, whose version is higher than any that a rank has seen, and the
            map in use.
        copy_timeout_s : float
            The longest time for all ranks to copy their experts, in seconds.

        Returns
        -------
        SwitchEnd

        Raises
        ------
        Replaced
            Another coordinator has been elected.
        GroupChanged
            The group was formed again, or a rank was unreachable before the hold.
        """
        preparation = MapPreparation(self._client, self._epoch, new, current)
        if not preparation.run(self._ranks, copy_timeout_s, first=self._own_rank):
            return SwitchEnd.NOT_COPIED
        with self._quiet_link():
            holds = self.new_holds()
            step = self._hold(holds)
            if step == UNSET:
                return SwitchEnd.NOT_HELD
            return self.arm_and_release(new, step, holds, current.experts)

    def resolve(self, answers: Mapping[int, RankAnswer], current: IntArray) -> None:
        """Roll back a switch left by another coordinator, or release a late hold.

        Parameters
        ----------
        answers : mapping of int to RankAnswer
            The latest answer of each rank, given to this coordinator's token.
        current : ndarray of int, shape (layer_sets, ranks, slots)
            The map in use.

        Raises
        ------
        Replaced, GroupChanged
            As for `run`.
        """
        holds = self.new_holds()
        passes = passes_to_hold(answers)
        if passes and holds.place_before(self.holders(), passes) == UNSET:
            _log.info("armed pass not held", group=self._client.group, passes=passes)
            return
        holds.adopt_all(answers)
        version = self.next_version(answers)
        self.fence(
            VersionedMap(version, current),
            armed_versions(answers),
            disarm_own=is_complete(answers),
        )
        self.release(holds)
        _log.warning(
            "unfinished switch resolved",
            group=self._client.group,
            version=version,
            held={r: a.held for r, a in answers.items() if a.held != UNSET},
            armed=sorted(armed_versions(answers)),
            token=self._client.token,
        )

    def new_holds(self) -> PassHolds:
        """Return an empty set of holds of this switch."""
        return PassHolds(self._client, self._epoch, self._own_rank)

    def holders(self) -> list[int]:
        """Return the ranks in the order in which they are to hold a pass.

        The own rank comes last, so that a frozen machine doesn't keep the pass held.
        """
        ranks = sorted(self._ranks)
        after_own = ranks.index(self._own_rank) + 1
        return ranks[after_own:] + ranks[:after_own]

    def _hold(self, holds: PassHolds) -> int:
        return holds.place_ahead(self.holders(), self.passes_ahead)

    def arm_and_release(
        self, new: VersionedMap, step: int, holds: PassHolds, fallback: IntArray
    ) -> SwitchEnd:
        """Arm all ranks for a held pass and release it, or disarm them all.

        Parameters
        ----------
        new : VersionedMap
            A map that all ranks have prepared.
        step : int
            The held pass.
        holds : PassHolds
            The holds to release.
        fallback : ndarray of int, shape (layer_sets, ranks, slots)
            The map to prepare if a rank can't be armed.

        Returns
        -------
        SwitchEnd
        """
        others = self._ranks - {self._own_rank}
        if self._arm(others, new.version, step) and self._arm(
            {self._own_rank}, new.version, step
        ):
            self.release(holds)
            return SwitchEnd.DONE
        version = self._versions.next_above(new.version)
        self.fence(VersionedMap(version, fallback), {new.version})
        self.release(holds)
        return SwitchEnd.NOT_ARMED

    def _arm(self, ranks: Iterable[int], version: int, step: int) -> bool:
        arming = RankArming(self._client, self._epoch, version, step)
        armed = arming.run(ranks)
        self.arm_rounds += arming.rounds
        return armed

    def fence(
        self,
        new: VersionedMap,
        disarmed: Collection[int],
        *,
        disarm_own: bool = True,
    ) -> None:
        """Have all ranks accept a version; see `fence_ranks`."""
        fence_ranks(
            self._client,
            self._epoch,
            (self._own_rank, *sorted(self._ranks - {self._own_rank})),
            new,
            disarmed,
            disarm_own=disarm_own,
        )

    def wait_for_pass(self, timeout_s: float) -> None:
        """Wait for the released pass to begin, at which all ranks switch."""
        step = max(step for _, step in self.holds.known)
        wait_for_pass(self._client, self._epoch, self._own_rank, step, timeout_s)

    def release(self, holds: PassHolds) -> None:
        """Release the holds of this switch or of its recovery."""
        holds.release()
        self.holds = holds
