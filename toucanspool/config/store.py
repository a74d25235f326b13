"""Changes of the configuration, each in one transaction of the table."""

import random
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace

import gevent

from toucanspool.backing.table import (
    Table,
    TableConflict,
    TableUnavailable,
    TableUncertain,
)
from toucanspool.config.diff import Description, describe
from toucanspool.config.failures import (
    ApplyBusy,
    ApplyError,
    ApplyUnavailable,
    ApplyUncertain,
    ChangesPruned,
    TornRead,
)
from toucanspool.config.keys import check_keys
from toucanspool.config.match import Labels
from toucanspool.config.proposal import Proposal
from toucanspool.config.reader import ConfigReader
from toucanspool.config.records import Change
from toucanspool.config.rows import KEPT_CHANGES
from toucanspool.config.transaction import Transaction
from toucanspool.config.view import View

APPLY_ATTEMPTS = 16
RETRY_PAUSE_S = 0.02
READ_BACK_ATTEMPTS = 4
READ_BACK_PAUSE_S = 0.25


@dataclass(slots=True, frozen=True)
class Applied:
    """Hold an accepted change.

    Parameters
    ----------
    change : Change
        The change as accepted.
    repeated : bool
        Whether an earlier call with the same change id had made it.
    """

    change: Change
    repeated: bool


class ConfigStore(ConfigReader):
    """Apply operators' changes to the table.

    Each change takes one transaction: the revision counter, a row of the change,
    a row of each record touched, and a row of the change id. It checks the
    version of every one of them, so that changes take effect one after another,
    each at most once, and only over what the operator saw.

    Parameters
    ----------
    table : Table
        The platform's table.
    clock : callable, default=time.time
        Returns seconds since the epoch.
    sleep : callable, default=gevent.sleep
        Waits a number of seconds.
    rng : random.Random, optional
        Source of the jitter between attempts.
    offload : callable, optional
        Runs a pure function of some milliseconds, for example in a thread.
    kept : int, default=4096
        For how many changes a removal leaves a trace, as `SnapshotKeeper` keeps.
    """

    def __init__(
        self,
        table: Table,
        *,
        clock: Callable[[], float] = time.time,
        sleep: Callable[[float], None] = gevent.sleep,
        rng: random.Random | None = None,
        offload: Callable[..., Description] | None = None,
        kept: int = KEPT_CHANGES,
    ) -> None:
        super().__init__(table, pause=lambda: sleep(0))
        self._clock = clock
        self._sleep = sleep
        self._rng = rng or random.Random()
        self._offload = offload or _run
        self._kept = kept

    def apply(
        self,
        proposal: Proposal,
        *,
        view: View | None = None,
        platform_labels: Mapping[str, Labels] | None = None,
    ) -> Applied:
        """Make a change, or tell what an earlier call with its change id made.

        Parameters
        ----------
        proposal : Proposal
            The change.
        view : View, optional
            The configuration at any earlier revision, which saves loading it;
            it is not changed.
        platform_labels : mapping of str to mapping, optional
            The platform's labels of each upstream, for the sentence.

        Returns
        -------
        Applied

        Raises
        ------
        ApplyUncertain
            It is not known whether the change was made.
        ApplyUnavailable, ApplyBusy
            This call made no change; a call at the same time or before it, with the
            same change id, may have.
        ApplyError
            The change was not made, for the reason that the subclass stands for.
        """
        proposal.check()
        lost = _LostCommit()
        try:
            return self._apply(proposal, _copy(view), platform_labels or {}, lost)
        except (TableUnavailable, ApplyError) as exc:
            if lost.pending():
                raise ApplyUncertain(proposal.change_id) from exc
            if isinstance(exc, ApplyError):
                raise
            raise ApplyUnavailable(proposal.change_id) from exc

    def dry_run(
        self,
        proposal: Proposal,
        *,
        view: View | None = None,
        platform_labels: Mapping[str, Labels] | None = None,
    ) -> Description:
        """Say what a change would do, without making it.

        Parameters
        ----------
        proposal : Proposal
            The change.
        view : View, optional
            The configuration at any earlier revision, which saves loading it.
        platform_labels : mapping of str to mapping, optional
            The platform's labels of each upstream.

        Returns
        -------
        Description

        Raises
        ------
        ApplyError
            The change would not be made now.
        """
        proposal.check()
        try:
            txn = Transaction.read(self._table, proposal)
            txn.earlier()
            txn.check(self._kept)
            return self._draft(txn, _copy(view), platform_labels or {})[1]
        except TableUnavailable as exc:
            raise ApplyUnavailable(proposal.change_id) from exc
        except (ChangesPruned, TornRead) as exc:
            raise ApplyBusy(proposal.change_id, 1) from exc

    def _apply(
        self,
        proposal: Proposal,
        view: View | None,
        platform_labels: Mapping[str, Labels],
        lost: "_LostCommit",
    ) -> Applied:
        for number in range(APPLY_ATTEMPTS):
            self._sleep(RETRY_PAUSE_S * number * self._rng.random())
            txn = self._read(proposal, lost)
            earlier = txn.earlier()
            if earlier is not None:
                return Applied(earlier, True)
            txn.check(self._kept)
            try:
                change, _ = self._draft(txn, view, platform_labels)
                self._table.commit(txn.checks(), txn.writes(change))
            except (TableConflict, ChangesPruned, TornRead):
                continue
            except TableUncertain:
                lost.counter_version = txn.counter_version
                continue
            return Applied(change, False)
        raise ApplyBusy(proposal.change_id, APPLY_ATTEMPTS)

    def _read(self, proposal: Proposal, lost: "_LostCommit") -> Transaction:
        for number in range(1, READ_BACK_ATTEMPTS):
            try:
                return lost.settle(Transaction.read(self._table, proposal))
            except TableUnavailable:
                if not lost.pending():
                    raise
                self._sleep(READ_BACK_PAUSE_S * number)
        return lost.settle(Transaction.read(self._table, proposal))

    def _draft(
        self, txn: Transaction, view: View | None, platform_labels: Mapping[str, Labels]
    ) -> tuple[Change, Description]:
        before = view if view is not None else self.load()
        self.catch_up(before, txn.revision)
        if before.revision != txn.revision:
            raise ChangesPruned(txn.revision, before.revision)
        change = txn.draft(self._clock())
        check_keys(before.keys, change)
        description = self._offload(describe, before, change, platform_labels)
        return replace(change, sentence=description.sentence), description


class _LostCommit:
    """Know whether a commit whose answer was lost may still take effect."""

    __slots__ = ("counter_version",)

    def __init__(self) -> None:
        self.counter_version: int | None = None

    def pending(self) -> bool:
        return self.counter_version is not None

    def settle(self, txn: Transaction) -> Transaction:
        # The lost commit checks the counter: once that has moved, the commit has
        # either taken effect, and its change id is there, or never will.
        if txn.counter_version != self.counter_version:
            self.counter_version = None
        return txn


def _run(function: Callable[..., Description], *args: object) -> Description:
    return function(*args)


def _copy(view: View | None) -> View | None:
    return view.copy() if view is not None else None
