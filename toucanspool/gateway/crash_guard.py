"""Protection of upstreams from calls that crash them."""

import time

from toucanspool.gateway.call import Call, RefusalCause, Refused
from toucanspool.gateway.crash_watch import CrashWatch
from toucanspool.gateway.progress import CallProgress
from toucanspool.retries.quarantine import Quarantine
from toucanspool.routing.upstream import Upstream

# Calls that crash an upstream do so when it begins to run them or to answer.
SOUND_AFTER_S = 0.5


class CrashGuard:
    """Refuse quarantined calls, and collect evidence on all calls.

    Parameters
    ----------
    quarantine : Quarantine
        Calls that crash upstreams.
    crash_watch : CrashWatch
        Told of replies that break off.
    """

    __slots__ = ("_crash_watch", "_quarantine")

    def __init__(self, quarantine: Quarantine, crash_watch: CrashWatch) -> None:
        self._quarantine = quarantine
        self._crash_watch = crash_watch

    def check(self, call: Call, *, may_have_run: bool = False) -> None:
        """Raise unless the call may be sent to upstreams.

        Parameters
        ----------
        call : Call
            The call.
        may_have_run : bool, default=False
            Whether an earlier attempt may have run.

        Raises
        ------
        Refused
            The call, or a part of its prompt, crashes upstreams.
        """
        blocked_s = self._quarantine.remaining_s(call.traits, time.monotonic())
        if blocked_s:
            raise Refused(
                RefusalCause.QUARANTINED,
                may_have_run=may_have_run,
                retry_after_s=blocked_s,
            )

    def blocks(self, call: Call) -> bool:
        """Return whether the call, or a part of its prompt, crashes upstreams."""
        return self._quarantine.remaining_s(call.traits, time.monotonic()) > 0.0

    def record_call(self, call: Call) -> None:
        """Record a new call."""
        self._quarantine.record_call(call.traits)

    def record_answer(
        self, call: Call, progress: CallProgress, *, complete: bool = False
    ) -> None:
        """Record that a part of the answer has arrived.

        Parameters
        ----------
        call : Call
            The call.
        progress : CallProgress
            Its attempts so far.
        complete : bool, default=False
            Whether the answer is known to be complete.
        """
        now = time.monotonic()
        if progress.began_at is None:
            progress.began_at = now
        lasted = now - progress.began_at >= SOUND_AFTER_S
        if not progress.sound and (complete or lasted):
            progress.sound = True
            self._quarantine.record_sound(call.traits, now)

    def record_break(
        self, call: Call, progress: CallProgress, upstream: Upstream
    ) -> None:
        """Record that the answer of an attempt broke off.

        Parameters
        ----------
        call : Call
            The call.
        progress : CallProgress
            Its attempts so far.
        upstream : Upstream
            Upstream of the attempt.
        """
        if not progress.sound:
            self._crash_watch.record_break(upstream, call.traits, progress.sent_at)
