"""Claims on idempotency keys, made by the agent right beside the upstream.

A call may be handed over only while its claim is held, and a key is claimed by
compare-and-set. A claim that is neither released nor finished stays: its key
never runs again.
"""

import secrets
from collections.abc import Callable

from toucanspool.backing.objects import Objects
from toucanspool.backing.table import (
    Check,
    Row,
    Table,
    TableConflict,
    TableError,
    TableUnavailable,
    TableUncertain,
    Write,
)
from toucanspool.protected.clock import Clock, MonotonicClock
from toucanspool.protected.errors import (
    ClaimRefused,
    DeadlinePassed,
    InProgress,
    KeyReused,
    ResponseGone,
    ResponseUnavailable,
    TableDown,
)
from toucanspool.protected.pending import PendingWrites
from toucanspool.protected.row import (
    STARTED,
    BufferedResponse,
    ClaimRow,
    encode_row,
    row_key,
)
from toucanspool.protected.submitter import Submitter
from toucanspool.protected.verdict import Replay, Started, judge
from toucanspool.protected.writes import (
    FINISH_LINGER_S,
    Claim,
    FinishWrite,
    ReleaseWrite,
)

CLAIM_ID_BYTES = 16
MAX_TRIES = 8
FINISH_WAIT_S = 1.0


class Claims:
    """Claim keys, release them and record their answers.

    Parameters
    ----------
    committer : Submitter
        Commits the writes.
    table : Table
        The same table, for reading back.
    objects : Objects
        Keeps large bodies.
    instance : str
        Name of the agent's instance.
    clock : Clock, optional
        Time.
    pending : PendingWrites, optional
        Keeps writes through an outage.
    new_id : callable, optional
        Draws an identity that was never drawn before.
    finish_linger_s : float, default=0.0
        Seconds that the record of an answer waits for the company of other writes.
        An agent that dies meanwhile leaves the key unknown.
    """

    __slots__ = (
        "_clock",
        "_committer",
        "_finish_linger_s",
        "_instance",
        "_new_id",
        "_objects",
        "_table",
        "pending",
    )

    def __init__(
        self,
        committer: Submitter,
        table: Table,
        objects: Objects,
        instance: str,
        *,
        clock: Clock | None = None,
        pending: PendingWrites | None = None,
        new_id: Callable[[], str] | None = None,
        finish_linger_s: float = FINISH_LINGER_S,
    ) -> None:
        self._committer = committer
        self._table = table
        self._objects = objects
        self._instance = instance
        self._clock = clock or MonotonicClock()
        self.pending = pending or PendingWrites()
        self._new_id = new_id or _random_id
        self._finish_linger_s = finish_linger_s

    def begin(
        self, team: str, key: str, attempt: str, body_hash: str, *, deadline: float
    ) -> Started | Replay:
        """Claim a key for one execution.

        Parameters
        ----------
        team : str
            The caller's team.
        key : str
            The caller's idempotency key.
        attempt : str
            The caller's attempt, for the record.
        body_hash : str
            Hash of the call's method, path and body.
        deadline : float
            Moment of the clock after which the call must not start.

        Returns
        -------
        Started or Replay
            The permit to run, or the answer of the run before.

        Raises
        ------
        ClaimRefused
            The call must not run; the subclass has the outcome to tell.
        """
        if self.pending.full:
            raise TableDown("too many earlier claims wait to be recorded")
        row = ClaimRow(STARTED, self._new_id(), attempt, body_hash, self._instance)
        claim = Claim(row_key(team, key), row, 0)
        settled = False
        try:
            result = self._acquire(claim, deadline)
            settled = True
        except (KeyReused, InProgress, ResponseGone, ResponseUnavailable):
            settled = True
            raise
        finally:
            if claim.risked and not settled:
                self.release(claim, later=True)
        return result

    def release(self, claim: Claim, *, later: bool = False) -> None:
        """Free a key whose call was certainly never handed over.

        Parameters
        ----------
        claim : Claim
            The claim.
        later : bool, default=False
            Whether to leave the work to `retry_pending`.
        """
        task = ReleaseWrite(claim, self._committer, self._table)
        if later:
            self.pending.add(task)
        else:
            self.pending.run(task)

    def finish(self, claim: Claim, answer: BufferedResponse) -> None:
        """Record the answer of a claim's execution.

        Waits for `FINISH_WAIT_S` at most, so that a repeated call finds the record
        as a rule, and goes on in the background.

        Parameters
        ----------
        claim : Claim
            The claim.
        answer : BufferedResponse
            The whole reply of the upstream.
        """
        task = FinishWrite(
            claim,
            answer,
            self._committer,
            self._table,
            self._objects,
            linger_s=self._finish_linger_s,
        )
        self._clock.wait(self.pending.start(task), FINISH_WAIT_S)

    def retry_pending(self) -> int:
        """Try again what could not be recorded.

        Returns
        -------
        int
            Writes still pending.
        """
        return self.pending.retry()

    def _acquire(self, claim: Claim, deadline: float) -> Started | Replay:
        for _ in range(MAX_TRIES):
            try:
                claim.version = self._commit(claim, deadline)
            except TableConflict:
                found = self._read(claim, deadline)
            except TableUncertain:
                self._check_deadline(deadline)
                found = self._read(claim, deadline)
            except TableError as exc:
                self._check_deadline(deadline)
                raise TableDown(f"the claim was not recorded: {exc}") from exc
            else:
                self._check_deadline(deadline)
                return Started(claim)
            result = judge(claim, found, self._objects)
            if result is not None:
                self._check_deadline(deadline)
                return result
            claim.version = found.version if found else 0
        raise TableDown("the claim was not recorded in several tries")

    def _commit(self, claim: Claim, deadline: float) -> int:
        self._check_deadline(deadline)
        try:
            version = self._committer.submit(
                [Check(claim.key, claim.version)],
                [Write(claim.key, encode_row(claim.row))],
                timeout_s=deadline - self._clock.now(),
            )
        except TableUnavailable:
            raise
        except BaseException:
            # A conflict may be with a copy of the same request.
            claim.risked = True
            raise
        claim.risked = True
        return version

    def _read(self, claim: Claim, deadline: float) -> Row | None:
        try:
            return self._table.get([claim.key]).get(claim.key)
        except TableError as exc:
            self._check_deadline(deadline)
            raise TableDown(f"the claim can't be read back: {exc}") from exc

    def _check_deadline(self, deadline: float) -> None:
        if self._clock.now() >= deadline:
            raise DeadlinePassed("the deadline passed before the start")


def _random_id() -> str:
    return secrets.token_hex(CLAIM_ID_BYTES)


__all__ = ["BufferedResponse", "Claim", "ClaimRefused", "Claims", "Replay", "Started"]
