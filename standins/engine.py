"""A streaming model engine as a process: ``python -m standins.engine --port=N``.

It supports continuous batching, priorities and continuing a partial answer, cancels
a sequence when its caller disconnects, reports its load with a lag, and caches prompt
prefixes in an LRU of limited size. Answers are a function of the prompt, so tests can
compute the expected text.
"""

from gevent import monkey

monkey.patch_all()

import itertools
import time
from collections import OrderedDict, deque
from collections.abc import Iterator

import falcon
import gevent
import orjson
import xxhash
from absl import app as absl_app
from absl import flags
from gevent.queue import Queue

from standins.answers import DEFAULT_TOKENS, answer_token, prompt_seed
from standins.faults import Faults
from standins.http import make_app, serve

MODEL = flags.DEFINE_string("model", "guide", "Model served.")
STEP_MS = flags.DEFINE_float("step_ms", 10.0, "Time of a step of one sequence, ms.")
BATCH = flags.DEFINE_integer("batch", 16, "Sequences that run at once.")
LAG_S = flags.DEFINE_float("lag_s", 0.5, "Age of the load that is reported, seconds.")
FENCED = flags.DEFINE_bool("fenced", True, "Refuse orders with an old fencing number.")

STEP_MS_PER_SEQUENCE = 0.1
CACHE_BLOCKS = 4096
BLOCK_CHARS = 64


class Sequence:
    """Track the generation of one answer.

    Parameters
    ----------
    seed : int
        From `prompt_seed`.
    start : int
        Index of the first token to generate.
    stop : int
        Index after the last token.
    priority : int
        Sequences with a lower value run first.
    """

    def __init__(self, seed: int, start: int, stop: int, priority: int) -> None:
        self.seed = seed
        self.next = start
        self.stop = stop
        self.priority = priority
        self.tokens: Queue[str | None] = Queue()
        self.cancelled = False


class Engine:
    """Generate the tokens of up to a batch of sequences, one per step.

    Parameters
    ----------
    step_ms : float
        Base duration of a step; each running sequence adds a little.
    batch : int
        Sequences that run at once.
    faults : Faults
        The active faults; ``delay_s`` lengthens each step.
    """

    def __init__(self, step_ms: float, batch: int, faults: Faults) -> None:
        self._step_ms = step_ms
        self._batch = batch
        self._faults = faults
        self._running: list[Sequence] = []
        self._waiting: list[Sequence] = []
        self._load_samples: deque[tuple[float, dict]] = deque(maxlen=1000)
        self._cached_blocks: OrderedDict[str, None] = OrderedDict()
        self.step_ms = step_ms
        gevent.spawn(self._run)

    def submit(self, sequence: Sequence) -> None:
        """Queue a sequence."""
        if sequence.next >= sequence.stop:
            sequence.tokens.put(None)
            return
        self._waiting.append(sequence)
        self._waiting.sort(key=lambda s: s.priority)

    def cache(self, prompt: str) -> float:
        """Cache a prompt's blocks and return the fraction that was already cached."""
        blocks = [
            xxhash.xxh64_hexdigest(prompt[:end].encode())
            for end in range(BLOCK_CHARS, len(prompt) + 1, BLOCK_CHARS)
        ]
        hits = sum(1 for block in blocks if block in self._cached_blocks)
        for block in blocks:
            self._cached_blocks[block] = None
            self._cached_blocks.move_to_end(block)
        while len(self._cached_blocks) > CACHE_BLOCKS:
            self._cached_blocks.popitem(last=False)
        return hits / len(blocks) if blocks else 0.0

    def load(self, lag_s: float) -> dict:
        """Return the load as sampled ``lag_s`` seconds ago."""
        horizon = time.monotonic() - lag_s
        past = [load for at, load in self._load_samples if at <= horizon]
        return past[-1] if past else {"running": 0, "waiting": 0, "step_ms": 0.0}

    def _run(self) -> None:
        while True:
            self._admit()
            step_ms = self._step_ms + STEP_MS_PER_SEQUENCE * len(self._running)
            self.step_ms = step_ms + self._faults.delay_s * 1000.0
            gevent.sleep(self.step_ms / 1000.0)
            for sequence in self._running:
                self._step(sequence)
            self._running = [s for s in self._running if s.next < s.stop]
            self._running = [s for s in self._running if not s.cancelled]
            self._load_samples.append((time.monotonic(), self._current_load()))

    def _current_load(self) -> dict:
        return {
            "running": len(self._running),
            "waiting": len(self._waiting),
            "step_ms": self.step_ms,
        }

    def _admit(self) -> None:
        self._waiting = [s for s in self._waiting if not s.cancelled]
        while self._waiting and len(self._running) < self._batch:
            self._running.append(self._waiting.pop(0))

    def _step(self, sequence: Sequence) -> None:
        sequence.tokens.put(answer_token(sequence.seed, sequence.next))
        sequence.next += 1
        if sequence.next >= sequence.stop:
            sequence.tokens.put(None)


class ChatPage:
    """Serve chat completions in the OpenAI format.

    Parameters
    ----------
    engine : Engine
        Generates the answers.
    model : str
        The model's name.
    """

    def __init__(self, engine: Engine, model: str) -> None:
        self._engine = engine
        self._model = model
        self._ids = itertools.count(1)
        self.received: list[dict] = []

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answer a conversation in one response or as a stream of events."""
        body = orjson.loads(req.bounded_stream.read())
        sequence = self._sequence(body, int(req.get_header("x-priority") or 0))
        self._record_request(req, body, sequence)
        self._engine.submit(sequence)
        name = f"chatcmpl-{next(self._ids)}"
        if body.get("stream"):
            resp.content_type = "text/event-stream"
            resp.stream = self._events(name, sequence)
        else:
            text = "".join(iter(sequence.tokens.get, None))
            resp.media = self._completion(name, text, sequence)

    def _sequence(self, body: dict, priority: int) -> Sequence:
        messages = body["messages"]
        start = 0
        if body.get("continue_final_message"):
            start = len(messages[-1]["content"].split())
            messages = messages[:-1]
        max_tokens = body.get("max_tokens")
        stop = start + int(max_tokens) if max_tokens else max(DEFAULT_TOKENS, start)
        return Sequence(prompt_seed(messages), start, stop, priority)

    def _record_request(
        self, req: falcon.Request, body: dict, sequence: Sequence
    ) -> None:
        text = "".join(str(m.get("content")) for m in body["messages"])
        self.received.append(
            {
                "request": req.get_header("x-request-id"),
                "start": sequence.next,
                "prefix_hit": self._engine.cache(text),
            }
        )

    def _events(self, name: str, sequence: Sequence) -> Iterator[bytes]:
        try:
            for token in iter(sequence.tokens.get, None):
                yield self._event(name, {"content": token}, None)
            yield self._event(name, {}, "stop")
            yield b"data: [DONE]\n\n"
        finally:
            sequence.cancelled = True

    def _event(self, name: str, delta: dict, finish: str | None) -> bytes:
        choice = {"index": 0, "delta": delta, "finish_reason": finish}
        body = {
            "id": name,
            "object": "chat.completion.chunk",
            "model": self._model,
            "choices": [choice],
        }
        return b"data: " + orjson.dumps(body) + b"\n\n"

    def _completion(self, name: str, text: str, sequence: Sequence) -> dict:
        message = {"role": "assistant", "content": text}
        return {
            "id": name,
            "object": "chat.completion",
            "model": self._model,
            "choices": [{"index": 0, "message": message, "finish_reason": "stop"}],
            "usage": {"completion_tokens": sequence.stop},
        }


class StatePages:
    """Serve the load, take orders, and list the requests and orders received.

    Parameters
    ----------
    engine : Engine
        The engine whose load is reported.
    chat : ChatPage
        Records the requests received.
    """

    def __init__(self, engine: Engine, chat: ChatPage) -> None:
        self._engine = engine
        self._chat = chat
        self._highest_token = 0
        self.orders: list[dict] = []

    def on_get_load(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Return the load, delayed by ``--lag_s``."""
        resp.media = self._engine.load(LAG_S.value)

    def on_get_seen(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Return the requests and orders received."""
        resp.media = {"requests": self._chat.received, "orders": self.orders}

    def on_post_orders(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Record an order; with ``--fenced``, refuse one with a stale fencing token."""
        order = orjson.loads(req.bounded_stream.read())
        if FENCED.value and order["token"] < self._highest_token:
            raise falcon.HTTPConflict(title="stale fencing token")
        self._highest_token = max(self._highest_token, order["token"])
        self.orders.append(order)


def main(argv: list[str]) -> None:
    """Serve the engine."""
    faults = Faults(sleep=gevent.sleep)
    engine = Engine(STEP_MS.value, BATCH.value, faults)
    chat = ChatPage(engine, MODEL.value)
    state = StatePages(engine, chat)
    app = make_app(faults)
    app.add_route("/v1/chat/completions", chat)
    app.add_route("/load", state, suffix="load")
    app.add_route("/seen", state, suffix="seen")
    app.add_route("/orders", state, suffix="orders")
    serve(app)


if __name__ == "__main__":
    absl_app.run(main)
