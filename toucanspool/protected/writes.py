"""The writes that end a claim; each may be repeated without harm."""

from dataclasses import dataclass

from toucanspool.backing.objects import Objects
from toucanspool.backing.table import Check, Table, TableConflict, Write
from toucanspool.protected.row import (
    ABANDONED,
    DONE,
    FREE,
    GONE,
    INLINE,
    OBJECT,
    OBJECT_PREFIX,
    STARTED,
    BufferedResponse,
    ClaimRow,
    StoredResponse,
    decode_row,
    encode_row,
    inline_response,
)
from toucanspool.protected.submitter import Submitter

MAX_INLINE_BYTES = 16 << 10
WRITE_TIMEOUT_S = 5.0
FINISH_LINGER_S = 0.0


@dataclass(slots=True)
class Claim:
    """Hold a claim on a key.

    Parameters
    ----------
    key : str
        Key of the claim's row.
    row : ClaimRow
        The row as started.
    version : int
        Version of the row that the claim's commit wrote, or of the one that it
        expects.
    risked : bool, default=False
        Whether the row may have been written, or may still be.
    """

    key: str
    row: ClaimRow
    version: int
    risked: bool = False


class _ClaimWrite:
    """Replace the row of a claim that is not finished."""

    __slots__ = ("_claim", "_committer", "_table", "_version")

    def __init__(self, claim: Claim, committer: Submitter, table: Table) -> None:
        self._claim = claim
        self._version = claim.version
        self._committer = committer
        self._table = table

    def _replace(self, row: ClaimRow, *, linger_s: float = 0.0) -> None:
        try:
            self._submit(row, linger_s)
        except TableConflict:
            if not self._refresh():
                return
            self._submit(row, linger_s)

    def _submit(self, row: ClaimRow, linger_s: float) -> None:
        self._committer.submit(
            [Check(self._claim.key, self._version)],
            [Write(self._claim.key, encode_row(row))],
            timeout_s=WRITE_TIMEOUT_S + linger_s,
            linger_s=linger_s,
        )

    def _refresh(self) -> bool:
        found = self._table.get([self._claim.key]).get(self._claim.key)
        if found is None:
            return False
        row = decode_row(found.value)
        self._version = found.version
        return row.claim == self._claim.row.claim and row.state in (STARTED, ABANDONED)


class ReleaseWrite(_ClaimWrite):
    """Free the key of a claim that was never handed over.

    A claim whose commit is uncertain may still appear later. The free row has a
    new version, so that such a late commit fails its check.

    Parameters
    ----------
    claim : Claim
        The claim.
    committer : Submitter
        Commits the write.
    table : Table
        The same table.
    """

    __slots__ = ()

    def attempt(self) -> None:
        """Try once."""
        self._replace(ClaimRow(FREE, self._claim.row.claim))

    def size(self) -> int:
        """Return the bytes held in memory."""
        return 0

    def discard_body(self) -> None:
        """Do nothing: a release holds no body."""


class FinishWrite(_ClaimWrite):
    """Record the answer of a claim.

    Parameters
    ----------
    claim : Claim
        The claim.
    answer : BufferedResponse
        The upstream's reply.
    committer : Submitter
        Commits the write.
    table : Table
        The same table.
    objects : Objects
        Keeps a large body.
    linger_s : float, default=0.0
        Seconds that the first try waits for the company of other writes.
    """

    __slots__ = ("_answer", "_kept", "_linger_s", "_objects")

    def __init__(
        self,
        claim: Claim,
        answer: BufferedResponse,
        committer: Submitter,
        table: Table,
        objects: Objects,
        *,
        linger_s: float = FINISH_LINGER_S,
    ) -> None:
        super().__init__(claim, committer, table)
        self._objects = objects
        self._answer: BufferedResponse | None = answer
        self._kept: StoredResponse | None = None
        self._linger_s = linger_s

    def attempt(self) -> None:
        """Try once."""
        if self._kept is None:
            self._kept = self._keep()
            self._answer = None
        row = self._claim.row
        done = ClaimRow(
            DONE, row.claim, row.attempt, row.body_hash, row.instance, self._kept
        )
        linger_s, self._linger_s = self._linger_s, 0.0
        self._replace(done, linger_s=linger_s)

    def size(self) -> int:
        """Return the bytes held in memory."""
        if self._kept is not None:
            return len(self._kept.body)
        return len(self._answer.body) if self._answer else 0

    def discard_body(self) -> None:
        """Let go of the body, but not of the fact that the call ran."""
        source = self._kept or self._answer
        assert source is not None
        if self._kept is None or self._kept.kept == INLINE:
            self._kept = StoredResponse(source.status, dict(source.headers), GONE)
            self._answer = None

    def _keep(self) -> StoredResponse:
        answer = self._answer
        assert answer is not None
        if len(answer.body) <= MAX_INLINE_BYTES:
            return inline_response(answer)
        name = OBJECT_PREFIX + self._claim.row.claim
        self._objects.put(name, answer.body)
        size = len(answer.body)
        return StoredResponse(answer.status, dict(answer.headers), OBJECT, name, size)
