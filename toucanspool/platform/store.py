"""The platform's row store, as the product's `Table` and `Feed`."""

import base64
from collections.abc import Mapping, Sequence
from typing import Any
from urllib.parse import urlencode

from toucanspool.backing.http_client import CallLost, CallRefused
from toucanspool.backing.table import (
    Check,
    Row,
    TableConflict,
    TableThrottled,
    TableUnavailable,
    TableUncertain,
    Write,
)
from toucanspool.platform.unpooled_client import UnpooledClient
from toucanspool.recovery.feed import Changes, HistoryGone

# Rows of each kind have a table of their own, so that a reader of one kind isn't woken
# by the others.
OWN_TABLES = "toucanspool-"
# Many processes list themselves at once at the start: their rows are read together.
# Gateways that leave answer for longer, and ranks' paces change slowly.
OWN_PAUSE_S = 2.0
CALL_TIMEOUT_S = 1.5
MS_PER_S = 1000
PAGE_ROWS = 500
# A feed's answer may come this much after its wait is over.
FEED_SLACK_S = 2.0
# A feed waits for long, and its connection may go silent for good: found out in two
# seconds, within the time that the platform gives to get in touch again.
FEED_PROBE_S = 1

OK, CONFLICT, GONE, THROTTLED, UNAVAILABLE = 200, 412, 410, 429, 503


class RowStore:
    """Read and write rows; implements `Table` for own rows, and `Feed`.

    Parameters
    ----------
    host : str
        IP number.
    port : int
        Port.
    feed_wait_s : float
        The longest wait of a feed, in seconds.
    """

    __slots__ = ("_calls", "_feeds")

    def __init__(self, host: str, port: int, *, feed_wait_s: float) -> None:
        self._calls = UnpooledClient(host, port, timeout_s=CALL_TIMEOUT_S)
        self._feeds = UnpooledClient(
            host,
            port,
            timeout_s=feed_wait_s + FEED_SLACK_S,
            keepalive_s=FEED_PROBE_S,
        )

    def get(self, keys: Sequence[str]) -> Mapping[str, Row]:
        """Return the own rows present among `keys`; see `Table`."""
        found = {}
        for key in keys:
            if row := self.row(table_of(key), key):
                found[key] = row
        return found

    def row(self, table: str, key: str) -> Row | None:
        """Return a row of any table, or None where there is none.

        Parameters
        ----------
        table, key : str
            Where it is.

        Returns
        -------
        Row or None

        Raises
        ------
        TableUnavailable
            The store did not answer.
        """
        rows, _ = self._range(table, {"from": key, "target": key + "\0"})
        return rows[0] if rows else None

    def scan(self, prefix: str, *, after: str = "", limit: int = 1000) -> list[Row]:
        """Return own rows by prefix; see `Table`."""
        start = max(prefix, after + "\0") if after else prefix
        query = {"from": start, "target": prefix + "\x7f"}
        return self._range(table_of(prefix), query)[0][:limit]

    def commit(self, checks: Sequence[Check], writes: Sequence[Write]) -> int:
        """Write own rows if all checks hold; see `Table`."""
        body = {
            "expectedRevision": [
                {**_address(check.key), "ver": check.version} for check in checks
            ],
            "puts": [
                {
                    **_address(write.key),
                    "value": base64.b64encode(write.value).decode(),
                }
                for write in writes
                if write.value is not None
            ],
            "remove": [_address(w.key) for w in writes if w.value is None],
        }
        try:
            status, answer = self._calls.call("POST", "/rows-tx", body)
        except CallRefused as exc:
            raise TableUnavailable(str(exc)) from exc
        except CallLost as exc:
            raise TableUncertain(str(exc)) from exc
        if status == CONFLICT:
            raise TableConflict([check.key for check in checks])
        _raise_unless_ok(status)
        return int(answer["ver"])

    def snapshot(self, table: str) -> Changes:
        """Return all rows of a table; see `Feed`."""
        rows, version = self._range(table, {})
        return Changes(rows, (), version)

    def changes(self, table: str, after: int, wait_s: float) -> Changes:
        """Return what has changed after a version; see `Feed`."""
        query = {"table": table, "after": after, "waitMs": int(wait_s * MS_PER_S)}
        answer = self._read(self._feeds, "/rows-feed", query)
        rows, gone = {}, {}
        for row in answer["rows"]:
            if row.get("tombstone"):
                rows.pop(row["key"], None)
                gone[row["key"]] = None
            else:
                gone.pop(row["key"], None)
                rows[row["key"]] = _row(row)
        return Changes(list(rows.values()), list(gone), int(answer["ver"]))

    def _range(self, table: str, query: dict[str, str]) -> tuple[list[Row], int]:
        rows: list[Row] = []
        asked: dict[str, Any] = {"table": table, "part": "", "limit": PAGE_ROWS}
        asked.update(query)
        version = None
        while True:
            answer = self._read(self._calls, "/rows-get", asked)
            rows += [_row(row) for row in answer["rows"]]
            # Later pages may hold newer rows; going on from the first page's
            # version reads their changes again and misses none.
            version = int(answer["ver"]) if version is None else version
            if not answer.get("hasMore"):
                return rows, version
            asked["from"] = rows[-1].key + "\0"

    def _read(self, client: UnpooledClient, path: str, query: Mapping[str, Any]) -> Any:
        try:
            status, answer = client.call("GET", f"{path}?{urlencode(query)}")
        except (CallRefused, CallLost) as exc:
            raise TableUnavailable(str(exc)) from exc
        _raise_unless_ok(status)
        return answer


def table_of(key: str) -> str:
    """Return the table of own rows whose keys begin like a key.

    Parameters
    ----------
    key : str
        Its part before the first slash is the kind of row.

    Returns
    -------
    str
    """
    return OWN_TABLES + key.partition("/")[0]


def _raise_unless_ok(status: int) -> None:
    if status == OK:
        return
    if status == GONE:
        raise HistoryGone("the store has dropped the changes asked for")
    if status == THROTTLED:
        raise TableThrottled("the store refused the call because of its rate")
    raise TableUnavailable(f"the store answered {status}")


def _address(key: str) -> dict[str, str]:
    return {"table": table_of(key), "part": "", "key": key}


def _row(row: Mapping[str, Any]) -> Row:
    return Row(row["key"], base64.b64decode(row["value"]), int(row["ver"]))
