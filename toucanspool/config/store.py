"""Applies configuration changes, each in one transaction of the table."""

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
class ApplyResult:
    """Describe the result of applying a proposal.

    Parameters
    ----------
    change : Change
        The accepted change.
    repeated : bool
        Whether an earlier call with the same change id already made it.
    """

    change: Change
    repeated: bool


class ConfigStore(ConfigReader):
    """Apply operators' changes to the table.

    Each change is one transaction that writes the revision counter, the row of the
    change, the rows of the changed records and the row of the change id. The
    transaction is conditional on the versions of the counter, the records and the
    change id. So changes are serialized, each is made at most once, and none
    overwrites a record that changed after its base revision.

    Parameters
    ----------
    table : Table
        The platform's table.
    clock : callable, default=time.time
        Returns the time in seconds since the epoch.
    sleep : callable, default=gevent.sleep
        Sleeps for a number of seconds; 0 yields to other greenlets.
    rng : random.Random, optional
        Random source of the backoff jitter between attempts.
    offload : callable, optional
        Runs a pure function that takes some milliseconds, for example in a thread.
    kept : int, default=4096
        Number of changes for which the tombstone of a removed record is kept; the
        same as that of `SnapshotKeeper`.
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
        self._offload = offload or _call
        self._kept = kept

    def apply(
        self,
        proposal: Proposal,
        *,
        view: View | None = None,
        platform_labels: Mapping[str, Labels] | None = None,
    ) -> ApplyResult:
        """Make a change, or return the one made earlier with the same change id.

        Parameters
        ----------
        proposal : Proposal
            The change.
        view : View, optional
            The configuration at any earlier revision, which saves loading it. It
            is not modified.
        platform_labels : mapping of str to mapping, optional
            Labels that the platform reports for each upstream, for the description.

        Returns
        -------
        ApplyResult

        Raises
        ------
        ApplyUncertain
            It is unknown whether the change was made.
        ApplyUnavailable, ApplyBusy
            This call made no change; an earlier or concurrent call with the same
            change id may have made it.
        ApplyError
            The change was not made; the subclass states the reason.
        """
        proposal.validate()
        uncertain = _UncertainCommit()
        try:
            return self._apply(
                proposal, _copy_view(view), platform_labels or {}, uncertain
            )
        except (TableUnavailable, ApplyError) as exc:
            if uncertain.pending():
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
        """Describe what a change would do, without making it.

        Parameters
        ----------
        proposal : Proposal
            The change.
        view : View, optional
            The configuration at any earlier revision, which saves loading it.
        platform_labels : mapping of str to mapping, optional
            Labels that the platform reports for each upstream.

        Returns
        -------
        Description

        Raises
        ------
        ApplyError
            The change would not be made at this time.
        """
        proposal.validate()
        try:
            txn = Transaction.read(self._table, proposal)
            txn.existing_change()
            txn.validate(self._kept)
            return self._prepare(txn, _copy_view(view), platform_labels or {})[1]
        except TableUnavailable as exc:
            raise ApplyUnavailable(proposal.change_id) from exc
        except (ChangesPruned, TornRead) as exc:
            raise ApplyBusy(proposal.change_id, 1) from exc

    def _apply(
        self,
        proposal: Proposal,
        view: View | None,
        platform_labels: Mapping[str, Labels],
        uncertain: "_UncertainCommit",
    ) -> ApplyResult:
        for attempt in range(APPLY_ATTEMPTS):
            self._sleep(RETRY_PAUSE_S * attempt * self._rng.random())
            txn = self._read(proposal, uncertain)
            existing = txn.existing_change()
            if existing is not None:
                return ApplyResult(existing, True)
            txn.validate(self._kept)
            try:
                change, _ = self._prepare(txn, view, platform_labels)
                self._table.commit(txn.checks(), txn.writes(change))
            except (TableConflict, ChangesPruned, TornRead):
                continue
            except TableUncertain:
                uncertain.counter_version = txn.counter_version
                continue
            return ApplyResult(change, False)
        raise ApplyBusy(proposal.change_id, APPLY_ATTEMPTS)

    def _read(self, proposal: Proposal, uncertain: "_UncertainCommit") -> Transaction:
        for attempt in range(1, READ_BACK_ATTEMPTS):
            try:
                return uncertain.resolve(Transaction.read(self._table, proposal))
            except TableUnavailable:
                if not uncertain.pending():
                    raise
                self._sleep(READ_BACK_PAUSE_S * attempt)
        return uncertain.resolve(Transaction.read(self._table, proposal))

    def _prepare(
        self, txn: Transaction, view: View | None, platform_labels: Mapping[str, Labels]
    ) -> tuple[Change, Description]:
        before = view if view is not None else self.load()
        self.catch_up(before, txn.revision)
        if before.revision != txn.revision:
            raise ChangesPruned(txn.revision, before.revision)
        change = txn.build_change(self._clock())
        check_keys(before.keys, change)
        description = self._offload(describe, before, change, platform_labels)
        return replace(change, sentence=description.sentence), description


class _UncertainCommit:
    """Track whether a commit without a response may still take effect."""

    __slots__ = ("counter_version",)

    def __init__(self) -> None:
        self.counter_version: int | None = None

    def pending(self) -> bool:
        return self.counter_version is not None

    def resolve(self, txn: Transaction) -> Transaction:
        # The commit is conditional on the counter's version. Once that has changed,
        # the commit either took effect, and its change id can be read, or never will.
        if txn.counter_version != self.counter_version:
            self.counter_version = None
        return txn


def _call(function: Callable[..., Description], *args: object) -> Description:
    return function(*args)


def _copy_view(view: View | None) -> View | None:
    return view.copy() if view is not None else None
