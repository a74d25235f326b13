"""Checks of the guarantees by what callers and upstreams observe.

It uses no code of the product, so that a fault there cannot hide itself.
"""

import time
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field

STREAM_EVENTS = 8
# A call may take this much longer than the timeout of its route.
TIMEOUT_SLACK_S = 0.6
# The gateways' limit on a reply, and the buffers of both sockets.
MAX_READ_BYTES = 24 * 1024 * 1024
# An upstream gets no new calls this long after the store listed it as draining.
DRAIN_DELAY_S = 2.5


@dataclass(slots=True)
class Violation:
    """Describe one violation of a guarantee."""

    guarantee: str
    call: str
    detail: str


@dataclass(slots=True)
class Oracle:
    """Collect observations and record violations of the guarantees.

    Attributes
    ----------
    call_ports : dict of str to int
        Port of the gateway that each call was sent to.
    runs : dict of str to list of str
        Upstreams that ran each call.
    answers, refusals : int
        Number of calls answered with success, or refused.
    violations : list of Violation
        Violations found so far.
    paused_processes : int
        Number of processes that are paused now.
    last_pause_at : float
        When the last pause ended, in seconds on the monotonic clock.
    store_faults, last_store_fault_at : int, float
        Likewise for faults of the store.
    link_faults, last_link_fault_at : int, float
        Likewise for faults of processes' links to the store.
    stalls : list of (float, float)
        End and duration of each stall of the soak's own process, in seconds on the
        monotonic clock. Callers, upstreams and the store all run in it.
    """

    call_ports: dict[str, int] = field(default_factory=dict)
    runs: dict[str, list[str]] = field(default_factory=lambda: defaultdict(list))
    refused_calls: set[str] = field(default_factory=set)
    once_calls: set[str] = field(default_factory=set)
    answers: int = 0
    refusals: int = 0
    violations: list[Violation] = field(default_factory=list)
    paused_processes: int = 0
    last_pause_at: float = 0.0
    store_faults: int = 0
    last_store_fault_at: float = 0.0
    link_faults: int = 0
    last_link_fault_at: float = 0.0
    stalls: list[tuple[float, float]] = field(default_factory=list)

    def record_run(self, call: str, upstream: str, *, draining_s: float) -> None:
        """Record that an upstream runs a call.

        Parameters
        ----------
        call, upstream : str
            The call, and the upstream that runs it.
        draining_s : float
            How long the upstream has been listed as draining; 0 if it is not.
        """
        self.runs[call].append(upstream)
        if call in self.once_calls and len(self.runs[call]) > 1:
            self._report("at most once", call, f"ran at {self.runs[call]}")
        if call in self.refused_calls:
            self._report("not run is true", call, f"ran at {upstream} after a refusal")
        # A process that can't reach the store can't know which upstreams drain.
        if min(draining_s, self.undisturbed_s()) > DRAIN_DELAY_S:
            self._report("leaving", call, f"{upstream} leaves for {draining_s:.1f} s")

    def record_call(self, call: str, *, once: bool, port: int = 0) -> None:
        """Record a call.

        Parameters
        ----------
        call : str
            The call.
        once : bool
            Whether it may run at most once.
        port : int, default=0
            Port of the gateway that it is sent to.
        """
        self.call_ports[call] = port
        if once:
            self.once_calls.add(call)

    def check_answer(self, call: str, body: bytes) -> None:
        """Check a complete answer."""
        self.answers += 1
        if body != b"answer to " + call.encode():
            self._report("one's own whole answer", call, repr(body[:60]))

    def check_stream(self, call: str, events: list[str], *, complete: bool) -> None:
        """Check the events of a stream.

        Parameters
        ----------
        call : str
            The call.
        events : list of str
            Texts of the events in the order received.
        complete : bool
            Whether the stream ended as complete.
        """
        self.answers += complete
        expected = [f"{call} piece {number}" for number in range(1, STREAM_EVENTS + 1)]
        if events != expected[: len(events)]:
            self._report("no piece missing or twice", call, repr(events))
        elif complete and events != expected:
            self._report("a cut stream does not look complete", call, repr(events))

    def check_read(self, call: str, n_bytes: int) -> None:
        """Check how much was read of a reply without end."""
        if n_bytes > MAX_READ_BYTES:
            self._report("replies are bounded", call, f"{n_bytes} bytes were read")

    def record_refusal(self, call: str, status: int) -> None:
        """Record a refusal; status 503 guarantees that the call does not run."""
        self.refusals += 1
        if status != 503:
            return
        self.refused_calls.add(call)
        if call in self.once_calls and self.runs.get(call):
            self._report("not run is true", call, f"had run at {self.runs[call]}")

    def check_duration(
        self, call: str, started: float, ended: float, allowed_s: float
    ) -> None:
        """Check how long a call took, unless a process was paused meanwhile.

        Stalls of the soak's own process do not count.

        Parameters
        ----------
        call : str
            The call.
        started, ended : float
            Start and end, in seconds on the monotonic clock.
        allowed_s : float
            Timeout of its route, in seconds.
        """
        if self.paused_processes or self.last_pause_at > started:
            return
        stalled_s = sum(
            seconds
            for at, seconds in self.stalls
            if at > started and at - seconds < ended
        )
        if ended - started - stalled_s > allowed_s + TIMEOUT_SLACK_S:
            detail = f"{ended - started:.1f} s, the soak stood still {stalled_s:.1f} s"
            self._report("held no longer than its route's time", call, detail)

    def undisturbed_s(self) -> float:
        """Return for how long store, links and processes were undisturbed."""
        if self.link_faults or self.paused_processes:
            return 0.0
        last_fault_at = max(self.last_link_fault_at, self.last_pause_at)
        return min(self.store_undisturbed_s(), time.monotonic() - last_fault_at)

    def store_undisturbed_s(self) -> float:
        """Return for how long the store was undisturbed.

        Stalls of the soak's own process, in which the store runs, disturb it too.
        """
        if self.store_faults:
            return 0.0
        stalled_at = self.stalls[-1][0] if self.stalls else 0.0
        return time.monotonic() - max(self.last_store_fault_at, stalled_at)

    def record_config(
        self, guarantee: str, gateway: str, version: int, late_s: float
    ) -> None:
        """Record that a gateway does not know a version that it should know."""
        detail = f"{gateway} without version {version}, written {late_s:.1f} s before"
        self._report(guarantee, "", detail)

    def record_excess(
        self, upstream: str, limit: float, requests: Mapping[str, int]
    ) -> None:
        """Record that an upstream got more requests than it takes.

        Parameters
        ----------
        upstream : str
            The upstream.
        limit : float
            Requests a second that it takes.
        requests : mapping of str to int
            Requests in one window by gateway.
        """
        detail = f"{upstream} takes {limit:.1f} a second, got {dict(requests)}"
        self._report("limits are kept", "", detail)

    def record_cold_excess(self, upstream: str, requests: Mapping[str, int]) -> None:
        """Record that a cold upstream got more requests in a second than it takes."""
        detail = f"{upstream} is cold, got {dict(requests)} within a second"
        self._report("cold upstreams are spared", "", detail)

    def record_evacuated(
        self, call: str, gateway: str, upstream: str, late_s: float
    ) -> None:
        """Record that an upstream got a request though its domain was evacuated."""
        detail = f"{gateway} sent to {upstream}, evacuated {late_s:.1f} s before"
        self._report("evacuated domains get nothing", call, detail)

    def record_deadly(self, call: str, crashes: int) -> None:
        """Record that a request reached an upstream that it crashes, once too often."""
        detail = f"sent although {crashes} upstreams had crashed under it"
        self._report("deadly requests are refused", call, detail)

    def record_mixed_maps(self, detail: str) -> None:
        """Record a pass that started on two maps."""
        self._report("one map in each pass", "", detail)

    def record_held(self, step: int, held_s: float) -> None:
        """Record that a pass stays held though its coordinators are connected."""
        self._report("a held group goes on", "", f"pass {step} held {held_s:.1f} s")

    def record_token(self, token: int, holder: str) -> None:
        """Record that an election gave a token that an earlier one had given."""
        self._report("no token twice", "", f"{holder} elected with token {token}")

    def _report(self, guarantee: str, call: str, detail: str) -> None:
        self.violations.append(Violation(guarantee, call, detail))
