"""The writes that end a claim; each is idempotent, and so safe to retry."""

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
    RESPONSE_PREFIX,
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
        The row in state ``"started"``.
    version : int
        Version of the row as written by the claim; before that, the version that
        the claim's commit expects.
    maybe_written : bool, default=False
        Whether a commit of the claim may have taken effect, or still may.
    """

    key: str
    row: ClaimRow
    version: int
    maybe_written: bool = False


class _ClaimWrite:
    """Replace the row of a claim unless the claim is finished."""

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
            if not self._refresh_version():
                return
            self._submit(row, linger_s)

    def _submit(self, row: ClaimRow, linger_s: float) -> None:
        self._committer.submit(
            [Check(self._claim.key, self._version)],
            [Write(self._claim.key, encode_row(row))],
            timeout_s=WRITE_TIMEOUT_S + linger_s,
            linger_s=linger_s,
        )

    def _refresh_version(self) -> bool:
        found = self._table.get([self._claim.key]).get(self._claim.key)
        if found is None:
            return False
        row = decode_row(found.value)
        self._version = found.version
        return row.claim == self._claim.row.claim and row.state in (STARTED, ABANDONED)


class ReleaseWrite(_ClaimWrite):
    """Free the key of a claim whose call was never sent to the upstream.

    The row is set to ``"free"`` and not removed: an uncertain commit of the claim
    may still reach the table, and the row's new version makes its check fail.

    Parameters
    ----------
    claim : Claim
        The claim.
    committer : Submitter
        Commits the write.
    table : Table
        The table that `committer` writes to.
    """

    __slots__ = ()

    def attempt(self) -> None:
        """Try once."""
        self._replace(ClaimRow(FREE, self._claim.row.claim))

    def size(self) -> int:
        """Return the bytes held in memory."""
        return 0

    def discard_body(self) -> None:
        """Do nothing: a release has no body."""


class FinishWrite(_ClaimWrite):
    """Record the response of a claim's execution.

    Parameters
    ----------
    claim : Claim
        The claim.
    response : BufferedResponse
        The upstream's response.
    committer : Submitter
        Commits the write.
    table : Table
        The table that `committer` writes to.
    objects : Objects
        Stores large bodies.
    linger_s : float, default=0.0
        Longest time in seconds that the first try waits to share a commit with
        other writes.
    """

    __slots__ = ("_linger_s", "_objects", "_response", "_stored")

    def __init__(
        self,
        claim: Claim,
        response: BufferedResponse,
        committer: Submitter,
        table: Table,
        objects: Objects,
        *,
        linger_s: float = FINISH_LINGER_S,
    ) -> None:
        super().__init__(claim, committer, table)
        self._objects = objects
        self._response: BufferedResponse | None = response
        self._stored: StoredResponse | None = None
        self._linger_s = linger_s

    def attempt(self) -> None:
        """Try once."""
        if self._stored is None:
            self._stored = self._store_response()
            self._response = None
        row = self._claim.row
        done = ClaimRow(
            DONE, row.claim, row.attempt, row.body_hash, row.instance, self._stored
        )
        linger_s, self._linger_s = self._linger_s, 0.0
        self._replace(done, linger_s=linger_s)

    def size(self) -> int:
        """Return the bytes held in memory."""
        if self._stored is not None:
            return len(self._stored.body)
        return len(self._response.body) if self._response else 0

    def discard_body(self) -> None:
        """Free the body, but still record that the call ran."""
        source = self._stored or self._response
        assert source is not None
        if self._stored is None or self._stored.kept == INLINE:
            self._stored = StoredResponse(source.status, dict(source.headers), GONE)
            self._response = None

    def _store_response(self) -> StoredResponse:
        response = self._response
        assert response is not None
        if len(response.body) <= MAX_INLINE_BYTES:
            return inline_response(response)
        name = RESPONSE_PREFIX + self._claim.row.claim
        self._objects.put(name, response.body)
        size = len(response.body)
        return StoredResponse(
            response.status, dict(response.headers), OBJECT, name, size
        )
