"""The agent reports whether a call ran, and releases its key only if it did not."""

from collections.abc import Callable
from types import SimpleNamespace

import pytest

from standins.memory import MemoryObjects, MemoryTable
from tests.agent.messages import make_open
from toucanspool.agent.call import Call
from toucanspool.agent.gate import CallFailed
from toucanspool.agent.upstream_client import UpstreamBroken, UpstreamUnreachable
from toucanspool.protected.claims import Claims
from toucanspool.protected.clock import MonotonicClock
from toucanspool.protected.committer import Committer
from toucanspool.wire.gen.messages.ttypes import Frame, Open, Outcome, Refusal

WAIT_S = 10.0


class FakeConn:
    """Record the sent frames."""

    batch = 0

    def __init__(self) -> None:
        self.frames: list[Frame] = []

    def send(self, frame: Frame) -> None:
        """Record a frame."""
        self.batch += 1
        self.frames.append(frame)


class FakeUpstream:
    """Send a reply, raise instead, or break off in the body."""

    framed = True

    def __init__(
        self, *, send_error: Exception | None = None, breaks_off: bool = False
    ) -> None:
        self.runs = 0
        self._send_error = send_error
        self._breaks_off = breaks_off

    def send(self, method: str, path: str, headers: dict, body: bytes):
        """Count the request and return its reply."""
        if self._send_error:
            raise self._send_error
        self.runs += 1
        return SimpleNamespace(
            status=201,
            headers={"content-type": "application/json"},
            framed=self.framed,
            iter_body=self._iter_body,
            close=lambda: None,
        )

    send_once = send

    def _iter_body(self):
        yield b'{"booking":'
        if self._breaks_off:
            raise UpstreamBroken
        yield b"1}"


class FakeGate:
    """Allow a number of checks, then refuse."""

    def __init__(self, allowed_checks: int = 100) -> None:
        self._remaining_checks = allowed_checks

    def check(self, request: Open) -> None:
        """Allow or refuse the call."""
        self._remaining_checks -= 1
        if self._remaining_checks < 0:
            raise CallFailed(Outcome.NOT_RUN, Refusal.DRAINING, "It drains.")


@pytest.fixture
def run():
    """Yield a function that runs one call and returns the frames it sent."""
    table = MemoryTable()
    committer = Committer(table)
    committer.start()
    claims = Claims(committer, table, MemoryObjects(), "agent-1")

    def run_call(
        upstream: FakeUpstream,
        *,
        gate: FakeGate | None = None,
        scope: str = "desk",
        **fields,
    ):
        conn = FakeConn()
        call = Call(
            make_open(**fields),
            conn,
            gate=gate or FakeGate(),
            upstream=upstream,
            claims=claims,
            clock=MonotonicClock(),
            scope=scope,
        )
        call.start().join(WAIT_S)
        claims.retry_pending()
        return conn.frames

    run_call.table = table
    yield run_call
    committer.close(timeout_s=1.0)


def end_of(frames: list[Frame]):
    """Return the end message, which must come once and last."""
    assert frames[-1].end is not None
    assert sum(frame.end is not None for frame in frames) == 1
    return frames[-1].end


def body_of(frames: list[Frame]) -> bytes:
    """Return the body that the chunks make up."""
    return b"".join(frame.chunk.data for frame in frames if frame.chunk)


def test_a_booking_runs_once_and_is_replayed(run):
    upstream = FakeUpstream()
    first, second = run(upstream), run(upstream)
    assert body_of(first) == body_of(second) == b'{"booking":1}'
    assert end_of(second).replayed
    assert upstream.runs == 1


def test_a_key_used_at_another_service_is_refused(run):
    run(FakeUpstream())
    other = FakeUpstream()
    end = end_of(run(other, scope="refunds"))
    assert (end.outcome, end.refusal) == (Outcome.NOT_RUN, Refusal.KEY_REUSED)
    assert other.runs == 0


def test_an_unguarded_call_is_relayed(run):
    frames = run(FakeUpstream(), guarded=False)
    assert body_of(frames) == b'{"booking":1}'
    assert end_of(frames).outcome == Outcome.COMPLETED


@pytest.mark.parametrize("framed", [True, False])
def test_the_entry_is_told_whether_a_reply_has_framing(run, framed):
    upstream = FakeUpstream()
    upstream.framed = framed
    assert run(upstream, guarded=False)[0].head.framed is framed


CASES: dict[str, tuple[Callable[[], dict], int, int]] = {
    "refused at the gate": (
        lambda: {"upstream": FakeUpstream(), "gate": FakeGate(0)},
        Outcome.NOT_RUN,
        Refusal.DRAINING,
    ),
    "refused after the claim": (
        lambda: {"upstream": FakeUpstream(), "gate": FakeGate(1)},
        Outcome.NOT_RUN,
        Refusal.DRAINING,
    ),
    "upstream unreachable": (
        lambda: {"upstream": FakeUpstream(send_error=UpstreamUnreachable())},
        Outcome.NOT_RUN,
        Refusal.UNREACHABLE,
    ),
    "no time left": (
        lambda: {"upstream": FakeUpstream(), "deadline_ms": 0},
        Outcome.NOT_RUN,
        Refusal.DEADLINE,
    ),
    "no reply": (
        lambda: {"upstream": FakeUpstream(send_error=UpstreamBroken())},
        Outcome.UNKNOWN,
        Refusal.BROKEN,
    ),
    "half a reply": (
        lambda: {"upstream": FakeUpstream(breaks_off=True)},
        Outcome.UNKNOWN,
        Refusal.BROKEN,
    ),
}


@pytest.mark.parametrize("name", CASES)
def test_each_end_tells_the_truth(run, name):
    make_fields, outcome, refusal = CASES[name]
    fields = make_fields()
    upstream = fields.pop("upstream")
    end = end_of(run(upstream, **fields))
    assert (end.outcome, end.refusal) == (outcome, refusal)
    if outcome == Outcome.NOT_RUN:
        assert upstream.runs == 0


@pytest.mark.parametrize("name", CASES)
def test_after_not_run_the_key_is_free_and_after_unknown_it_is_not(run, name):
    make_fields, outcome, _ = CASES[name]
    fields = make_fields()
    run(fields.pop("upstream"), **fields)
    retry_upstream = FakeUpstream()
    end = end_of(run(retry_upstream))
    key_released = outcome == Outcome.NOT_RUN
    assert end.outcome == (Outcome.COMPLETED if key_released else Outcome.UNKNOWN)
    assert retry_upstream.runs == int(key_released)


def test_table_down_refuses_before_it_ran(run):
    run.table.faults.set(down=True)
    upstream = FakeUpstream()
    end = end_of(run(upstream))
    assert (end.outcome, end.refusal) == (Outcome.NOT_RUN, Refusal.TABLE_DOWN)
    assert end.retry_after_ms > 0
    assert upstream.runs == 0
