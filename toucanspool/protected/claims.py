"""Claims on idempotency keys, made by the agent that runs next to the upstream.

A key is claimed by compare-and-set, and a call is sent to the upstream only while its
claim is held. A claim that is neither released nor finished is kept, and its key
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
from toucanspool.protected.resolution import Replay, Started, resolve_claim
from toucanspool.protected.row import (
    STARTED,
    BufferedResponse,
    ClaimRow,
    encode_row,
    row_key,
)
from toucanspool.protected.submitter import Submitter
from toucanspool.protected.writes import (
    FINISH_LINGER_S,
    Claim,
    FinishWrite,
    ReleaseWrite,
)

CLAIM_ID_BYTES = 16
MAX_CLAIM_TRIES = 8
FINISH_WAIT_S = 1.0


class Claims:
    """Claim keys, release them and record the responses of their calls.

    Parameters
    ----------
    committer : Submitter
        Commits the writes.
    table : Table
        The table that `committer` writes to, for reading rows back.
    objects : Objects
        Stores large bodies.
    instance : str
        Name of the agent's instance.
    clock : Clock, optional
        Source of time; defaults to `MonotonicClock`.
    pending : PendingWrites, optional
        Retries writes that failed.
    new_id : callable, optional
        Returns a unique identity for a claim.
    finish_linger_s : float, default=0.0
        Longest time in seconds that the record of a response waits to share a
        commit with other writes. If the agent dies in that time, the outcome of the
        key stays unknown.
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
            The caller's attempt, stored for diagnosis.
        body_hash : str
            Hash of the call's method, path and body.
        deadline : float
            Time on the clock at which the call must no longer start.

        Returns
        -------
        Started or Replay
            The permit to run the call, or the recorded response of its execution.

        Raises
        ------
        ClaimRefused
            The call must not run; the subclass defines the outcome to report.
        """
        if self.pending.full:
            raise TableDown("too many earlier claims wait to be recorded")
        row = ClaimRow(STARTED, self._new_id(), attempt, body_hash, self._instance)
        claim = Claim(row_key(team, key), row, 0)
        resolved = False
        try:
            result = self._acquire(claim, deadline)
            resolved = True
        except (KeyReused, InProgress, ResponseGone, ResponseUnavailable):
            resolved = True
            raise
        finally:
            if claim.maybe_written and not resolved:
                self.release(claim, defer=True)
        return result

    def release(self, claim: Claim, *, defer: bool = False) -> None:
        """Free a key whose call was never sent to the upstream.

        Parameters
        ----------
        claim : Claim
            The claim.
        defer : bool, default=False
            Whether to leave the write to `retry_pending`.
        """
        write = ReleaseWrite(claim, self._committer, self._table)
        if defer:
            self.pending.add(write)
        else:
            self.pending.run(write)

    def finish(self, claim: Claim, response: BufferedResponse) -> None:
        """Record the response of a claim's execution.

        The write runs in the background. This waits up to `FINISH_WAIT_S` for its
        first try, so that a repeated call normally finds the record.

        Parameters
        ----------
        claim : Claim
            The claim.
        response : BufferedResponse
            The upstream's complete response.
        """
        write = FinishWrite(
            claim,
            response,
            self._committer,
            self._table,
            self._objects,
            linger_s=self._finish_linger_s,
        )
        self._clock.wait(self.pending.start(write), FINISH_WAIT_S)

    def retry_pending(self) -> int:
        """Retry the writes that failed.

        Returns
        -------
        int
            Writes still pending.
        """
        return self.pending.retry()

    def _acquire(self, claim: Claim, deadline: float) -> Started | Replay:
        for _ in range(MAX_CLAIM_TRIES):
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
            result = resolve_claim(claim, found, self._objects)
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
            # The conflict may be with a duplicate of this commit that took effect.
            claim.maybe_written = True
            raise
        claim.maybe_written = True
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
