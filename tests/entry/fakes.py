"""Fakes around a dispatcher: upstreams that follow a script."""

import random
from collections.abc import Callable, Sequence
from types import SimpleNamespace

import orjson

from standins.answers import DEFAULT_TOKENS, answer_token, prompt_seed
from toucanspool.config.records import Team
from toucanspool.entry.caller_request import CallerRequest
from toucanspool.entry.decisions import Decisions
from toucanspool.entry.dispatcher import Dispatcher
from toucanspool.entry.problems import Problem
from toucanspool.kernel.kernel import Kernel
from toucanspool.protected.clock import MonotonicClock
from toucanspool.retries.deadline import Deadline
from toucanspool.routing.candidate import Candidate
from toucanspool.routing.policy import RoutingRequest
from toucanspool.settings.settings import Entry
from toucanspool.wire.connection import ConnectionLost
from toucanspool.wire.events import DONE_EVENT
from toucanspool.wire.gen.messages.ttypes import (
    Chunk,
    End,
    Head,
    Open,
    Outcome,
    Refusal,
)

MESSAGES = [{"role": "user", "content": "Which trips run?"}]
STREAM_HEAD = Head(status=200, headers={"content-type": "text/event-stream"})
WHOLE_HEAD = Head(status=200, headers={"content-type": "application/json"})

Script = Callable[[Open], list]


def events(body: bytes) -> list[bytes]:
    """Return the events that an engine streams for a body."""
    request = orjson.loads(body)
    messages = request["messages"]
    start = 0
    if request.get("continue_final_message"):
        start = len(messages[-1]["content"].split())
        messages = messages[:-1]
    wanted = request.get("max_tokens")
    stop = start + wanted if wanted else max(start, DEFAULT_TOKENS)
    seed = prompt_seed(messages)
    texts = [answer_token(seed, index) for index in range(start, stop)]
    return [event(text, None) for text in texts] + [event("", "stop"), DONE_EVENT]


def event(text: str, finish: str | None) -> bytes:
    """Return one event in the usual form."""
    choice = {"index": 0, "delta": {"content": text}, "finish_reason": finish}
    return b"data: " + orjson.dumps({"choices": [choice]}) + b"\n\n"


def chunks(pieces: Sequence[bytes]) -> list[Chunk]:
    """Return pieces as chunks at their offsets."""
    made, offset = [], 0
    for piece in pieces:
        made.append(Chunk(call=1, offset=offset, data=piece))
        offset += len(piece)
    return made


def completed(pieces: Sequence[bytes]) -> End:
    """Return the end of a whole body."""
    size = sum(len(piece) for piece in pieces)
    return End(call=1, outcome=Outcome.COMPLETED, offset=size)


def refused(refusal: int, outcome: int = Outcome.NOT_RUN) -> End:
    """Return the end of a call that was refused or broke."""
    return End(
        call=1, outcome=outcome, refusal=refusal, detail="No.", retry_after_ms=1000
    )


def streams(opened: Open) -> list:
    """Stream the whole answer."""
    pieces = events(opened.body)
    return [STREAM_HEAD, *chunks(pieces), completed(pieces)]


def breaks_after(count: int) -> Script:
    """Return a script that breaks off after some events."""

    def script(opened: Open) -> list:
        broken = refused(Refusal.BROKEN, Outcome.UNKNOWN)
        return [STREAM_HEAD, *chunks(events(opened.body))[:count], broken]

    return script


def answers(body: bytes) -> Script:
    """Return a script that answers whole."""
    return lambda opened: [WHOLE_HEAD, *chunks([body]), completed([body])]


def says(*messages: object) -> Script:
    """Return a script that sends messages as they are."""
    return lambda opened: list(messages)


def unreachable(opened: Open) -> list:
    """Refuse the connection."""
    raise ConnectionLost


class FakeLink:
    """Follow a script for each call, and note the calls."""

    def __init__(self, scripts: Sequence[Script]) -> None:
        self.scripts = list(scripts)
        self.opened: list[Open] = []

    def open(self, opened: Open) -> SimpleNamespace:
        """Hand a call over."""
        script = self.scripts.pop(0) if self.scripts else says()
        messages = iter(script(opened))
        self.opened.append(opened)
        end = refused(Refusal.BROKEN, Outcome.UNKNOWN)
        return SimpleNamespace(
            next=lambda timeout_s: next(messages, end),
            close=lambda: None,
            cancel=lambda: None,
        )


class FakeRouter:
    """Choose the upstreams in order, one for each attempt."""

    def __init__(self, scripts: Sequence[Script]) -> None:
        self.link = FakeLink(scripts)
        self._left = len(scripts)

    def choose(self, req: CallerRequest, tried: set, attempt: int) -> SimpleNamespace:
        """Return the next upstream."""
        if not self._left:
            raise Problem(503, "no-upstream", "None is left.", retry_after_s=1.0)
        self._left -= 1
        name = f"guide-{self._left}"
        return SimpleNamespace(
            link=self.link,
            candidate=Candidate(name, "one"),
            instance=SimpleNamespace(upstream=name),
        )

    def succeeded(self, target: object) -> None:
        """Do nothing."""

    def failed(self, target: object, exc: Exception) -> None:
        """Do nothing."""


class FakeService:
    """Stand for a service that only has attributes."""

    def __init__(self, **attributes: object) -> None:
        self.__dict__.update(attributes)

    def start(self, kernel: Kernel) -> None:
        """Do nothing."""

    def stop(self) -> None:
        """Do nothing."""


def make_dispatcher(
    *scripts: Script, kind: type[Dispatcher] = Dispatcher
) -> tuple[Dispatcher, FakeLink]:
    """Return a dispatcher whose attempts follow scripts, and the link."""
    router = FakeRouter(scripts)
    kernel = Kernel()
    kernel.add("router", FakeService(**{n: getattr(router, n) for n in _ROUTER}))
    kernel.add("config", FakeService(revision=1))
    kernel.add("rng", FakeService(named=lambda name: random.Random(name)))
    dispatcher = kind(Entry(http={"port": 0}), Decisions())
    dispatcher.start(kernel)
    return dispatcher, router.link


def make_request(*, stream: bool = True, **fields: object) -> CallerRequest:
    """Return a caller's request."""
    body = {"model": "guide", "messages": MESSAGES, "stream": stream}
    body.update(fields.pop("body", {}))
    return CallerRequest(
        request_id="entry-1-x",
        team=Team("members"),
        method="POST",
        path="/v1/chat/completions",
        body=orjson.dumps(body),
        labels={"model": "guide"},
        work=RoutingRequest("one"),
        deadline=Deadline.after(30.0, MonotonicClock().now()),
        streamed=stream,
        **{"idempotent": True, **fields},
    )


_ROUTER = ("choose", "succeeded", "failed")
