"""HTTP client for the platform's engines; implements `RankEngine`."""

from typing import Any
from urllib.parse import urlencode

import numpy as np

from toucanspool.backing.http_client import CallLost, CallRefused, JsonClient
from toucanspool.groups.expert_map import EMPTY, IntArray
from toucanspool.groups.rank_engine import (
    UNSET,
    ExpertCounts,
    OrderLost,
    OrderRefused,
    RankEngineError,
    RankState,
)
from toucanspool.platform.unpooled_client import UnpooledClient

# An engine answers requests from its own machine within milliseconds.
TIMEOUT_S = 0.2
# The whole group waits for these orders during a switch, so that a lost one is repeated
# sooner. A repeated order is harmless.
SWITCH_TIMEOUT_S = 0.1
# Expert counts of 61 layer sets with 512 experts take 0.3 MB, other replies far less.
MAX_REPLY_BYTES = 1024 * 1024
SWITCH_OPERATIONS = frozenset({"arm", "hold", "go"})
INSTANCE_ID = "toucanspool-instance-id"
GROUP_OPEN = "open"
ACCEPTED_STATUSES = (200, 202)


class BadAnswer(RankEngineError):
    """Report a response with missing or invalid fields."""


class PlatformEngine:
    """Read the state of one engine and send orders to it.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        TCP port.
    """

    __slots__ = ("_layer_sets", "_pooled_client", "_switch_client", "_unpooled_client")

    def __init__(self, host: str, port: int) -> None:
        # New connections cost the engine time, so reads that are sent several times a
        # second reuse connections. Orders don't: a late copy of another reply would
        # look as if the engine had accepted them.
        self._pooled_client = JsonClient(
            host,
            port,
            timeout_s=TIMEOUT_S,
            reuse_connections=True,
            max_reply_bytes=MAX_REPLY_BYTES,
        )
        self._unpooled_client = UnpooledClient(
            host, port, timeout_s=TIMEOUT_S, max_body_bytes=MAX_REPLY_BYTES
        )
        self._switch_client = UnpooledClient(
            host, port, timeout_s=SWITCH_TIMEOUT_S, max_body_bytes=MAX_REPLY_BYTES
        )
        self._layer_sets = 0

    def state(self) -> RankState:
        """Return the rank's state; see `RankEngine`."""
        data = self._get("/report")
        try:
            group = data["group"]
            return RankState(
                group=group["name"],
                epoch=int(group["epoch"]),
                rank=int(group["rank"]),
                size=int(data["size"]),
                open=group["state"] == GROUP_OPEN,
                step=int(data["step"]),
                # A version; the map's experts come with "/picked?lists=1".
                map_version=int(data["map"]),
                prepared=_decode_version(data.get("prepared")),
                armed=_decode_version(data.get("armed")),
                armed_step=_decode_step(data.get("armed")),
                held=_decode_version(data.get("held")),
                running=int(data.get("active", 0)),
                waiting=int(data.get("queued", 0)),
                pace=float(data.get("pace") or 1.0),
                started_ms=int(data.get("born") or 0),
                sequence=int(data.get("sequence") or 0),
            )
        except (KeyError, TypeError, ValueError) as exc:
            raise BadAnswer(repr(exc)) from exc

    def expert_counts(self) -> ExpertCounts:
        """Return how often each expert was chosen; see `RankEngine`."""
        if not self._layer_sets:
            self._layer_sets = len(self.experts())
        data = self._get("/picked")
        try:
            counts = np.asarray(data["counts"], dtype=np.int64)
            return ExpertCounts(
                int(data["epoch"]), counts.reshape(self._layer_sets, -1)
            )
        except (KeyError, TypeError, ValueError) as exc:
            raise BadAnswer(repr(exc)) from exc

    def experts(self) -> list[list[int]]:
        """Return this rank's experts; see `RankEngine`."""
        data = self._get("/picked?" + urlencode({"lists": 1}))
        try:
            return [[int(e) for e in experts] for experts in data["map"]["experts"]]
        except (KeyError, TypeError, ValueError) as exc:
            raise BadAnswer(repr(exc)) from exc

    def name(self, health_path: str) -> str:
        """Return the upstream name of the engine.

        Parameters
        ----------
        health_path : str
            Path of its health page, which gives the name even while it is unhealthy.

        Returns
        -------
        str

        Raises
        ------
        RankEngineError
            The page did not respond or gave no name.
        """
        try:
            headers = self._unpooled_client.head(health_path)
        except (CallRefused, CallLost) as exc:
            raise RankEngineError(str(exc)) from exc
        name = headers.get(INSTANCE_ID, "")
        if not name:
            raise BadAnswer(f"the health page sent no {INSTANCE_ID} header")
        return name

    def prepare(self, version: int, experts: IntArray, epoch: int) -> None:
        """Begin to copy the experts of a map; see `RankEngine`."""
        lists = [
            [[int(e) for e in slots if e != EMPTY] for slots in ranks]
            for ranks in experts
        ]
        self._send_order("prepare", epoch, version=version, map=lists)

    def arm(self, version: int, step: int, epoch: int, *, sequence: int) -> None:
        """Switch to a prepared map when a pass begins; see `RankEngine`."""
        self._send_order(
            "arm", epoch, version=version, step=step, expectedRevision=sequence
        )

    def disarm(self, version: int, epoch: int, *, sequence: int) -> None:
        """Cancel an armed switch; see `RankEngine`."""
        self._send_order("disarm", epoch, version=version, expectedRevision=sequence)

    def hold(self, step: int, epoch: int) -> None:
        """Hold the group before a pass; see `RankEngine`."""
        self._send_order("hold", epoch, step=step)

    def go(self, step: int, epoch: int) -> None:
        """Release a held pass; see `RankEngine`."""
        self._send_order("go", epoch, step=step)

    def close(self) -> None:
        """Close all connections."""
        self._pooled_client.close()

    def _send_order(self, operation: str, epoch: int, **fields: Any) -> None:
        body = {"operation": operation, "epoch": epoch, **fields}
        switches = operation in SWITCH_OPERATIONS
        client = self._switch_client if switches else self._unpooled_client
        try:
            status = client.call("POST", "/order", body).status
        except CallRefused as exc:
            raise OrderRefused(str(exc)) from exc
        except CallLost as exc:
            raise OrderLost(str(exc)) from exc
        if status not in ACCEPTED_STATUSES:
            raise OrderRefused(f"the engine refused {operation} with status {status}")

    def _get(self, path: str) -> Any:
        try:
            status, data = self._pooled_client.call("GET", path)
        except (CallRefused, CallLost) as exc:
            raise RankEngineError(str(exc)) from exc
        if status != 200:
            raise RankEngineError(f"the engine returned status {status} for {path}")
        return data


def _decode_version(value: Any) -> int:
    if isinstance(value, dict):
        value = value["version"]
    return UNSET if value is None else int(value)


def _decode_step(value: Any) -> int:
    return int(value["step"]) if isinstance(value, dict) and "step" in value else UNSET
