"""Client of a small system as a team and operator, for the demo and the tests."""

import secrets
import time
from collections.abc import Iterator
from typing import Any

import orjson
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from demo.launcher import HOST, DemoFailed, System, call
from standins.answers import DEFAULT_TOKENS, answer_token, prompt_seed
from toucanspool.config.view import key_hash

READY_TIMEOUT_S = 20.0


class Caller:
    """Call a small system with the keys of its teams and operators.

    Parameters
    ----------
    system : System
        The system to call.
    """

    def __init__(self, system: System) -> None:
        self.system = system
        self.entries = [item["name"] for item in system.plan["entries"]]

    def configure(
        self, records: list[dict[str, Any]], *, entries: int | None = None
    ) -> int:
        """Apply the first configuration with new keys; wait until it is active.

        Parameters
        ----------
        records : list of dict
            Records of the configuration; teams and operators get a key each.
        entries : int, optional
            Number of entries to wait for, the first ones of the plan; all by default.

        Returns
        -------
        int
            Revision of the configuration.
        """
        keys = self.system.keys
        for record in records:
            if record["kind"] in ("team", "operator"):
                new_key = secrets.token_urlsafe(24)
                keys_by_name = (
                    keys.teams if record["kind"] == "team" else keys.operators
                )
                keys_by_name[record["name"]] = new_key
                record["key_hashes"] = [key_hash(new_key)]
        body = {"change_id": "first", "base": 0, "puts": records}
        status, answer, _ = call(
            self.port(0), "POST", "/admin/v1/changes", body, key=keys.bootstrap
        )
        if status != 200:
            raise DemoFailed(
                f"first change was answered with status {status}: {answer}"
            )
        self.wait_ready(answer["revision"], entries=entries)
        return answer["revision"]

    def wait_ready(self, revision: int, *, entries: int | None = None) -> None:
        """Wait until entries have a revision active and list every upstream.

        Parameters
        ----------
        revision : int
            Revision of the configuration.
        entries : int, optional
            Number of entries to wait for, the first ones of the plan; all by default.
        """
        plan = self.system.plan
        kinds = ("runners", "services", "rank_agents")
        upstreams = sum(len(plan.get(kind, ())) for kind in kinds)
        deadline = time.monotonic() + READY_TIMEOUT_S
        for index in range(entries or len(self.entries)):
            while not self._ready(index, revision, upstreams):
                if time.monotonic() > deadline:
                    raise DemoFailed(f"{self.entries[index]} did not become ready")
                time.sleep(0.05)

    def port(self, index: int) -> int:
        """Return the HTTP port of an entry by its index in the plan."""
        return self.system.ports[f"{self.entries[index]}/http"]

    def admin(self, method: str, path: str, body: Any = None, index: int = 1) -> Any:
        """Make a call as an operator; see `call`."""
        key = next(iter(self.system.keys.operators.values()))
        return call(self.port(index), method, path, body, key=key)

    def change(self, change_id: str, *puts: dict[str, Any], index: int = 1) -> Any:
        """Apply a change based on the active revision of an entry."""
        base = self.admin("GET", "/admin/v1/status", index=index)[1]["revision"]
        body = {"change_id": change_id, "base": base, "puts": puts}
        return self.admin("POST", "/admin/v1/changes", body, index=index)

    def _ready(self, index: int, revision: int, upstreams: int) -> bool:
        if call(self.port(index), "GET", "/readyz")[0] != 200:
            return False
        state = self.admin("GET", "/admin/v1/status", index=index)[1]
        return state["revision"] >= revision and len(state["upstreams"]) == upstreams

    def book(self, index: int, key: str, team: str, **options: Any) -> Any:
        """Book a seat with an idempotency key; see `call`."""
        headers = {"Idempotency-Key": key, **options.pop("headers", {})}
        body = options.pop("body", {"seat": 14})
        return call(
            self.port(index),
            "POST",
            "/services/booking-desk/bookings",
            body,
            key=self.system.keys.teams[team],
            headers=headers,
            **options,
        )

    def seen(self, name: str) -> Any:
        """Return the requests that a stand-in has recorded."""
        return call(self.system.ports[name], "GET", "/seen")[1]

    def bookings(self) -> list[dict[str, Any]]:
        """Return the bookings made by all booking services."""
        desks = [item["name"] for item in self.system.plan["services"]]
        return [item for desk in desks for item in self.seen(desk)]

    def stream(
        self, index: int, messages: list[dict], team: str, tokens: int = 0
    ) -> Iterator[str]:
        """Yield the text of a streamed answer as it arrives.

        Parameters
        ----------
        index : int
            Index of the entry in the plan.
        messages : list of dict
            The conversation.
        team : str
            Team whose key is used.
        tokens : int, default=0
            Length of the answer in tokens; 0 for the default of the engine.

        Yields
        ------
        str

        Raises
        ------
        DemoFailed
            The stream was refused, malformed or incomplete.
        OSError
            The connection broke.
        """
        body: dict[str, Any] = {"model": "guide", "messages": messages, "stream": True}
        if tokens:
            body["max_tokens"] = tokens
        headers = {
            "authorization": f"Bearer {self.system.keys.teams[team]}",
            "content-type": "application/json",
        }
        client = HTTPClient(HOST, self.port(index), network_timeout=30.0)
        try:
            resp = client.request(
                "POST", "/v1/chat/completions", body=orjson.dumps(body), headers=headers
            )
            if resp.status_code != 200:
                raise DemoFailed(
                    f"stream refused, status {resp.status_code}: {resp.read()!r}"
                )
            yield from _read_texts(resp)
        except HTTPParseError as exc:
            raise ConnectionResetError(str(exc)) from exc
        finally:
            client.close()


def expected(messages: list[dict], tokens: int = DEFAULT_TOKENS) -> str:
    """Return the answer that the engine stand-in is expected to give.

    Parameters
    ----------
    messages : list of dict
        The conversation.
    tokens : int
        Length of the answer in tokens.

    Returns
    -------
    str
    """
    seed = prompt_seed(messages)
    return "".join(answer_token(seed, index) for index in range(tokens))


def _read_texts(resp: Any) -> Iterator[str]:
    done = False
    for event in iter(lambda: resp.readline(b"\n\n"), b""):
        if done or not event.startswith(b"data: "):
            raise DemoFailed(f"unexpected event in the stream: {event!r}")
        data = event.removeprefix(b"data: ").strip()
        done = data == b"[DONE]"
        if not done:
            yield orjson.loads(data)["choices"][0]["delta"].get("content", "")
    if not done:
        raise DemoFailed("stream ended without [DONE]")
