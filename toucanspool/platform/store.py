"""Client of the platform's row store; implements `Table` and `Feed`."""

import base64
from collections.abc import Mapping, Sequence
from typing import Any
from urllib.parse import urlencode

import gevent
import structlog

from toucanspool.backing.checked_values import (
    DECODING_ERRORS,
    brief,
    decoding,
    integer,
    text,
)
from toucanspool.backing.http_client import CallLost, CallRefused
from toucanspool.backing.table import (
    Check,
    Row,
    TableConflict,
    TableError,
    TableThrottled,
    TableUnavailable,
    TableUncertain,
    Write,
)
from toucanspool.platform.store_era import ERA_HEADER, VERSIONS_PER_ERA, StoreEra
from toucanspool.platform.unpooled_client import JsonResponse, UnpooledClient
from toucanspool.recovery.feed import Changes, HistoryGone, StoreLapsed

# Each kind of toucanspool's own rows has its own table, so that changes of one kind
# don't wake the readers of others.
TABLE_PREFIX = "toucanspool-"
# Kinds of rows with the same readers share a table, so that one feed brings both.
TABLE_BY_KIND = {"crash": "entry"}
# Many processes register at once at startup, so their rows are read together. A delay
# is harmless: leaving gateways respond for longer, and ranks' slowdowns change slowly.
OWN_ROWS_PAUSE_S = 2.0
CALL_TIMEOUT_S = 1.5
MS_PER_S = 1000
ROWS_PER_PAGE = 500
# A feed without a response this long after its requested wait has ended is silent: its
# connection has failed, or the store is away, though TCP may still be acknowledged.
FEED_SILENCE_S = 0.5
# Idle time before a TCP keepalive probe, by which a feed finds a dead host.
FEED_KEEPALIVE_S = 1

OK, CONFLICT, GONE, THROTTLED, UNAVAILABLE = 200, 412, 410, 429, 503

_log = structlog.get_logger()


class RowStoreClient:
    """Read and write rows; implements `Table` for own rows, and `Feed`.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        TCP port.
    """

    __slots__ = ("_client", "_era", "_feed_client")

    def __init__(self, host: str, port: int) -> None:
        self._era = StoreEra()
        self._client = UnpooledClient(host, port, timeout_s=CALL_TIMEOUT_S)
        self._feed_client = UnpooledClient(
            host,
            port,
            timeout_s=CALL_TIMEOUT_S,
            head_timeout_s=FEED_SILENCE_S,
            keepalive_s=FEED_KEEPALIVE_S,
        )

    @property
    def era(self) -> int:
        """Return the latest era of the store; see `Table`."""
        return self._era.number

    def get(self, keys: Sequence[str]) -> Mapping[str, Row]:
        """Return the existing own rows among `keys`; see `Table`."""
        found = {key: self.row(table_of(key), key) for key in keys}
        return {key: row for key, row in found.items() if row}

    def row(self, table: str, key: str) -> Row | None:
        """Return a row of any table, or None if it does not exist.

        Parameters
        ----------
        table : str
            Name of the table.
        key : str
            Key of the row.

        Returns
        -------
        Row or None

        Raises
        ------
        TableUnavailable
            The store did not respond or refused the request.
        """
        rows, _ = self._read_range(table, {"from": key, "target": key + "\0"})
        return rows[0] if rows else None

    def scan(self, prefix: str, *, after: str = "", limit: int = 1000) -> list[Row]:
        """Return own rows by key prefix; see `Table`."""
        start = max(prefix, after + "\0") if after else prefix
        query = {"from": start, "target": prefix + "\x7f"}
        return self._read_range(table_of(prefix), query)[0][:limit]

    def commit(self, checks: Sequence[Check], writes: Sequence[Write]) -> int:
        """Write own rows in one transaction if all checks hold; see `Table`."""
        era = self.era
        try:
            versions = [self._era.decode_version(check.version) for check in checks]
        except StoreLapsed as exc:
            raise TableConflict([check.key for check in checks]) from exc
        body = {
            "expectedRevision": [
                {**_encode_key(check.key), "ver": version}
                for check, version in zip(checks, versions, strict=True)
            ],
            "puts": [
                {
                    **_encode_key(write.key),
                    "value": base64.b64encode(write.value).decode(),
                }
                for write in writes
                if write.value is not None
            ],
            "remove": [_encode_key(w.key) for w in writes if w.value is None],
        }
        try:
            response = self._client.call("POST", "/rows-tx", body)
        except CallRefused as exc:
            raise TableUnavailable(str(exc)) from exc
        except CallLost as exc:
            raise TableUncertain(str(exc)) from exc
        response_era = self._observe_era(response)
        if response.status == CONFLICT:
            raise TableConflict([check.key for check in checks])
        _raise_unless_ok(response.status)
        if (checks and response_era != era) or response_era < self.era:
            # Either the checks compared versions of another era, or the store may have
            # lost the commit since.
            raise TableUncertain("the store came back from an older copy meanwhile")
        with decoding(TableUncertain):
            return self._decode_version(response.body)

    def snapshot(self, table: str) -> Changes:
        """Return all rows of a table; see `Feed`."""
        rows, version = self._read_range(table, {})
        return Changes(rows, (), version)

    def changes(self, table: str, after: int, wait_s: float) -> Changes:
        """Return the changes after a version; see `Feed`."""
        query = {
            "table": table,
            "after": self._era.decode_version(after),
            "waitMs": int(wait_s * MS_PER_S),
        }
        response = self._wait_for_changes(query, wait_s)
        rows, deleted = {}, {}
        with decoding(TableUnavailable):
            for key, row in self._decode_rows(response["rows"]):
                if row is None:
                    rows.pop(key, None)
                    deleted[key] = None
                else:
                    deleted.pop(key, None)
                    rows[key] = row
            version = self._decode_version(response)
        return Changes(list(rows.values()), list(deleted), version)

    def _wait_for_changes(self, query: Mapping[str, Any], wait_s: float) -> Any:
        """Call the feed; stop waiting as soon as another response names a new era."""
        era, ended = self.era, self._era.ended
        call = gevent.spawn(self._read_feed, query, wait_s)
        try:
            gevent.wait([call, ended], count=1)
        finally:
            call.kill()
        if ended.is_set():
            raise StoreLapsed(f"the store came back from an older copy in era {era}")
        if isinstance(call.value, TableError):
            raise call.value
        return call.value

    def _read_feed(self, query: Mapping[str, Any], wait_s: float) -> Any:
        """Return the response, or the error, which ends a greenlet without a log."""
        try:
            return self._read(self._feed_client, "/rows-feed", query, wait_s=wait_s)
        except TableError as exc:
            return exc

    def _read_range(self, table: str, query: dict[str, str]) -> tuple[list[Row], int]:
        rows: list[Row] = []
        params: dict[str, Any] = {"table": table, "part": "", "limit": ROWS_PER_PAGE}
        params.update(query)
        version = None
        while True:
            response = self._read(self._client, "/rows-get", params)
            with decoding(TableUnavailable):
                page = self._decode_rows(response["rows"])
                rows += [row for _, row in page if row is not None]
                # Later pages may contain newer rows. Following changes from the first
                # page's version repeats some of these and misses none.
                if version is None:
                    era = self.era
                    version = self._decode_version(response)
                if self.era != era:
                    raise TableUnavailable("the store came back from an older copy")
                if not response.get("hasMore"):
                    return rows, version
                params["from"] = _last_key(response["rows"]) + "\0"

    def _read(
        self,
        client: UnpooledClient,
        path: str,
        query: Mapping[str, Any],
        *,
        wait_s: float = 0.0,
    ) -> Any:
        target = f"{path}?{urlencode(query)}"
        try:
            response = client.call("GET", target, wait_s=wait_s)
        except (CallRefused, CallLost) as exc:
            raise TableUnavailable(str(exc)) from exc
        era = self._observe_era(response)
        _raise_unless_ok(response.status)
        if era < self.era:
            raise TableUnavailable(f"the response is of era {era}, before {self.era}")
        return response.body

    def _observe_era(self, response: JsonResponse) -> int:
        return self._era.observe(response.headers.get(ERA_HEADER, ""))

    def _decode_version(self, data: Mapping[str, Any]) -> int:
        version = int(data["ver"])
        return self._era.encode_version(integer(version, high=VERSIONS_PER_ERA - 1))

    def _decode_rows(self, rows: Sequence[Any]) -> list[tuple[str, Row | None]]:
        """Return keys and rows, None for deleted ones; unreadable ones are logged."""
        decoded: list[tuple[str, Row | None]] = []
        for row in rows:
            try:
                key = text(row["key"])
                if row.get("tombstone"):
                    decoded.append((key, None))
                    continue
                value = base64.b64decode(row["value"])
                decoded.append((key, Row(key, value, self._decode_version(row))))
            except DECODING_ERRORS as exc:
                _log.warning("unreadable row", row=brief(row), error=repr(exc))
        return decoded


def table_of(key: str) -> str:
    """Return the table of an own row.

    Parameters
    ----------
    key : str
        Key of the row, or a prefix; the part before the first slash is its kind.

    Returns
    -------
    str
    """
    kind = key.partition("/")[0]
    return TABLE_PREFIX + TABLE_BY_KIND.get(kind, kind)


def _last_key(rows: Sequence[Any]) -> str:
    """Return the last key of a page, whose row may have no readable value."""
    keys = (row.get("key") for row in reversed(rows) if isinstance(row, dict))
    return text(next((key for key in keys if isinstance(key, str)), None))


def _raise_unless_ok(status: int) -> None:
    if status == OK:
        return
    if status == GONE:
        raise HistoryGone("the store no longer has the requested changes")
    if status == THROTTLED:
        raise TableThrottled("the store throttled the request")
    raise TableUnavailable(f"the store returned status {status}")


def _encode_key(key: str) -> dict[str, str]:
    return {"table": table_of(key), "part": "", "key": key}
