"""The platform's engines: state, counts and orders; implements `RankEngine`."""

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
from toucanspool.platform.json_calls import JsonCalls

# An engine answers its own machine within milliseconds.
TIMEOUT_S = 0.2
INSTANCE_ID = "toucanspool-instance-id"
GROUP_OPEN = "open"
DONE = (200, 202)


class BadAnswer(RankEngineError):
    """Report an answer that this version can't read."""


class PlatformEngine:
    """Reach one engine.

    Parameters
    ----------
    host : str
        IP number.
    port : int
        Port.
    """

    __slots__ = ("_client", "_once", "_sets")

    def __init__(self, host: str, port: int) -> None:
        # New connections to an engine cost it time, so they are kept for what is
        # asked several times a second.
        self._client = JsonClient(host, port, timeout_s=TIMEOUT_S)
        self._once = JsonCalls(host, port, timeout_s=TIMEOUT_S)
        self._sets = 0

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
                # A number; the experts stand in another answer.
                map_version=int(data["map"]),
                prepared=_version(data.get("prepared")),
                armed=_version(data.get("armed")),
                held=_version(data.get("held")),
                running=int(data.get("active", 0)),
                waiting=int(data.get("queued", 0)),
                pace=float(data.get("pace") or 1.0),
                started_ms=int(data.get("born") or 0),
                sequence=int(data.get("sequence") or 0),
            )
        except (KeyError, TypeError, ValueError) as exc:
            raise BadAnswer(repr(exc)) from exc

    def expert_counts(self) -> ExpertCounts:
        """Return the counts of chosen experts; see `RankEngine`."""
        if not self._sets:
            self._sets = len(self.experts())
        data = self._get("/picked")
        try:
            counts = np.asarray(data["counts"], dtype=np.int64)
            return ExpertCounts(int(data["epoch"]), counts.reshape(self._sets, -1))
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
        """Return the engine's name among upstreams.

        Parameters
        ----------
        health_path : str
            Path of its health page, which tells the name also when it is not well.

        Returns
        -------
        str

        Raises
        ------
        RankEngineError
            It did not tell.
        """
        try:
            headers = self._once.head(health_path)
        except (CallRefused, CallLost) as exc:
            raise RankEngineError(str(exc)) from exc
        name = headers.get(INSTANCE_ID, "")
        if not name:
            raise BadAnswer("the health page does not tell the name")
        return name

    def prepare(self, version: int, experts: IntArray, epoch: int) -> None:
        """Begin to copy the experts of a map; see `RankEngine`."""
        lists = [
            [[int(e) for e in places if e != EMPTY] for places in ranks]
            for ranks in experts
        ]
        self._order("prepare", epoch, version=version, map=lists)

    def arm(self, version: int, step: int, epoch: int, *, sequence: int) -> None:
        """Switch to a prepared map as a pass begins; see `RankEngine`."""
        self._order("arm", epoch, version=version, step=step, expectedRevision=sequence)

    def disarm(self, version: int, epoch: int, *, sequence: int) -> None:
        """Take an armed switch back; see `RankEngine`."""
        self._order("disarm", epoch, version=version, expectedRevision=sequence)

    def hold(self, step: int, epoch: int) -> None:
        """Keep the group from beginning a pass; see `RankEngine`."""
        self._order("hold", epoch, step=step)

    def go(self, step: int, epoch: int) -> None:
        """Let the group begin a pass that was held; see `RankEngine`."""
        self._order("go", epoch, step=step)

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

    def _order(self, operation: str, epoch: int, **more: Any) -> None:
        body = {"operation": operation, "epoch": epoch, **more}
        try:
            status, _ = self._client.call("POST", "/order", body)
        except CallRefused as exc:
            raise OrderRefused(str(exc)) from exc
        except CallLost as exc:
            raise OrderLost(str(exc)) from exc
        if status not in DONE:
            raise OrderRefused(f"the engine answered {status} to {operation}")

    def _get(self, path: str) -> Any:
        try:
            status, data = self._client.call("GET", path)
        except (CallRefused, CallLost) as exc:
            raise RankEngineError(str(exc)) from exc
        if status != 200:
            raise RankEngineError(f"the engine answered {status}")
        return data


def _version(value: Any) -> int:
    if isinstance(value, dict):
        value = value["version"]
    return UNSET if value is None else int(value)
