"""A caller and operator of a small system, for the demo and the tests."""

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
    """Call a small system as its teams and operators do.

    Parameters
    ----------
    system : System
        The system.
    """

    def __init__(self, system: System) -> None:
        self.system = system
        self.entries = [item["name"] for item in system.plan["entries"]]

    def configure(self, records: list[dict[str, Any]]) -> int:
        """Apply the first configuration with new keys; wait until it is in force.

        Parameters
        ----------
        records : list of dict
            The records; teams and operators get a key each.

        Returns
        -------
        int
            The revision.
        """
        keys = self.system.keys
        for record in records:
            if record["kind"] in ("team", "operator"):
                drawn = secrets.token_urlsafe(24)
                held = keys.teams if record["kind"] == "team" else keys.operators
                held[record["name"]] = drawn
                record["key_hashes"] = [key_hash(drawn)]
        body = {"change_id": "first", "base": 0, "puts": records}
        status, answer, _ = call(
            self.port(0), "POST", "/admin/v1/changes", body, key=keys.bootstrap
        )
        if status != 200:
            raise DemoFailed(f"the first change was answered {status}: {answer}")
        self.wait_ready(answer["revision"])
        return answer["revision"]

    def wait_ready(self, revision: int) -> None:
        """Wait until every entry serves a revision and knows every upstream.

        Parameters
        ----------
        revision : int
            The revision.
        """
        plan = self.system.plan
        kinds = ("runners", "services", "rank_agents")
        upstreams = sum(len(plan.get(kind, ())) for kind in kinds)
        limit = time.monotonic() + READY_TIMEOUT_S
        for index in range(len(self.entries)):
            while not self._ready(index, revision, upstreams):
                if time.monotonic() > limit:
                    raise DemoFailed(f"{self.entries[index]} did not become ready")
                time.sleep(0.05)

    def port(self, index: int) -> int:
        """Return the HTTP port of an entry by its place in the plan."""
        return self.system.ports[f"{self.entries[index]}/http"]

    def admin(self, method: str, path: str, body: Any = None, index: int = 1) -> Any:
        """Make an operator's call; see `call`."""
        key = next(iter(self.system.keys.operators.values()))
        return call(self.port(index), method, path, body, key=key)

    def change(self, change_id: str, *puts: dict[str, Any], index: int = 1) -> Any:
        """Apply a change on what an entry has in force."""
        base = self.admin("GET", "/admin/v1/status", index=index)[1]["revision"]
        body = {"change_id": change_id, "base": base, "puts": puts}
        return self.admin("POST", "/admin/v1/changes", body, index=index)

    def _ready(self, index: int, revision: int, upstreams: int) -> bool:
        if call(self.port(index), "GET", "/readyz")[0] != 200:
            return False
        state = self.admin("GET", "/admin/v1/status", index=index)[1]
        return state["revision"] >= revision and len(state["upstreams"]) == upstreams

    def book(self, index: int, key: str, team: str, **more: Any) -> Any:
        """Book a seat with an idempotency key; see `call`."""
        headers = {"Idempotency-Key": key, **more.pop("headers", {})}
        body = more.pop("body", {"seat": 14})
        return call(
            self.port(index),
            "POST",
            "/services/booking-desk/bookings",
            body,
            key=self.system.keys.teams[team],
            headers=headers,
            **more,
        )

    def seen(self, name: str) -> Any:
        """Return what a stand-in saw."""
        return call(self.system.ports[name], "GET", "/seen")[1]

    def bookings(self) -> list[dict[str, Any]]:
        """Return every booking that any desk has made."""
        desks = [item["name"] for item in self.system.plan["services"]]
        return [item for desk in desks for item in self.seen(desk)]

    def stream(
        self, index: int, messages: list[dict], team: str, tokens: int = 0
    ) -> Iterator[str]:
        """Yield the text of a streamed answer as it comes.

        Parameters
        ----------
        index : int
            Place of the entry in the plan.
        messages : list of dict
            The conversation.
        team : str
            The caller's team.
        tokens : int, default=0
            Length of the answer; 0 leaves it to the engine.

        Yields
        ------
        str

        Raises
        ------
        DemoFailed
            The stream did not come whole.
        OSError
            The connection was lost.
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
                raise DemoFailed(f"answered {resp.status_code}: {resp.read()!r}")
            yield from _texts(resp)
        except HTTPParseError as exc:
            raise ConnectionResetError(str(exc)) from exc
        finally:
            client.close()


def expected(messages: list[dict], tokens: int = DEFAULT_TOKENS) -> str:
    """Return the answer that the engine stand-in must give.

    Parameters
    ----------
    messages : list of dict
        The conversation.
    tokens : int
        Length of the answer.

    Returns
    -------
    str
    """
    seed = prompt_seed(messages)
    return "".join(answer_token(seed, index) for index in range(tokens))


def _texts(resp: Any) -> Iterator[str]:
    done = False
    for event in iter(lambda: resp.readline(b"\n\n"), b""):
        if done or not event.startswith(b"data: "):
            raise DemoFailed(f"the stream said {event!r}")
        data = event.removeprefix(b"data: ").strip()
        done = data == b"[DONE]"
        if not done:
            yield orjson.loads(data)["choices"][0]["delta"].get("content", "")
    if not done:
        raise DemoFailed("the stream has no end")
