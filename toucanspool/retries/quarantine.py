"""Quarantine of calls that crash the upstreams that run them."""

from collections.abc import Iterable, Mapping, Sequence

import structlog

from toucanspool.retries.crash_evidence import (
    SOUND_WINDOW_S,
    CrashEvidence,
    CrashId,
    is_request,
)

# Crashes of upstreams before a trait is blocked.
CRASHES_TO_BLOCK = 3
# Of these, crashes under other requests than blocked ones, before a part is blocked.
OTHER_CRASHES_TO_BLOCK = 2
BLOCK_S = 600.0
# A trait that was blocked before is blocked again at its first crash within this time.
PROBATION_S = 600.0

_log = structlog.get_logger()


class Quarantine:
    """Block the calls that share a trait which crashes upstreams.

    All calls that a crash may be due to are suspect with each of their traits: the
    parts of their prompts, and the requests themselves, which may come again. A trait
    is cleared by calls that upstreams run without a crash, so that after several
    crashes only the one that causes them is left.

    Attributes
    ----------
    blocked : dict of str to float
        Ends of the blocks by trait, in seconds on the monotonic clock.
    """

    __slots__ = ("_decided", "_evidence", "_probation", "blocked")

    def __init__(self) -> None:
        # Whether the crashes so far have been accounted for.
        self._decided = True
        self._evidence = CrashEvidence()
        self._probation: dict[str, float] = {}
        self.blocked: dict[str, float] = {}

    def remaining_s(self, traits: Sequence[str], now: float) -> float:
        """Return for how long a call is blocked.

        Parameters
        ----------
        traits : sequence of str
            Its traits.
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        float
            Seconds; 0 if it is not blocked.
        """
        ends = (self.blocked.get(trait, now) for trait in traits)
        return max(0.0, max(ends, default=now) - now)

    def record_call(self, traits: Iterable[str]) -> None:
        """Count a new call."""
        self._evidence.record_call(traits)

    def record_sound(self, traits: Iterable[str], now: float) -> None:
        """Record that an upstream has run a call without a crash.

        Parameters
        ----------
        traits : iterable of str
            Traits of the call.
        now : float
            Time of the answer, in seconds on the monotonic clock.
        """
        for trait in traits:
            self._evidence.record_sound(trait, now)
            if trait not in self.blocked:
                continue
            blocked_at = self.blocked[trait] - BLOCK_S
            if now > blocked_at - SOUND_WINDOW_S:
                self._unblock(trait)

    def record_crash(
        self, crash_id: CrashId, calls: Iterable[Sequence[str]], at: float
    ) -> list[str]:
        """Record a crash and block the traits that have caused enough of them.

        Parameters
        ----------
        crash_id : CrashId
            The crash.
        calls : iterable of sequence of str
            Traits of the calls that the crash may be due to.
        at : float
            Time of the crash, in seconds on the monotonic clock.

        Returns
        -------
        list of str
            Traits that are blocked from now on.
        """
        known = not self._evidence.record_crash(crash_id, calls, at)
        if known and self._decided:
            return []
        before = set(self.blocked)
        suspects = self._evidence.suspects()
        while (trait := self._find_cause(suspects)) is not None:
            self._block(trait, at, crashes=len(suspects[trait]))
        for trait in [t for t in self.blocked if self._is_explained(t, suspects)]:
            self._unblock(trait)
            self._probation.pop(trait, None)
        self._decided = True
        return [trait for trait in self.blocked if trait not in before]

    def cleared(self) -> dict[str, float]:
        """Return when the traits that have been cleared of a crash were last sound.

        Returns
        -------
        dict of str to float
            Seconds on the monotonic clock by trait.
        """
        evidence = self._evidence
        return {
            trait: evidence.sound_at(trait)
            for crash in evidence.crashes.values()
            for trait in crash.traits
            if evidence.is_cleared(trait, crash)
        }

    def adopt(self, trait: str, at: float, now: float) -> bool:
        """Block a trait that other entries have blocked, unless it was sound here.

        Parameters
        ----------
        trait : str
            The trait.
        at : float
            Time at which it was blocked, in seconds on the monotonic clock.
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        bool
            Whether it is blocked from now on.
        """
        if trait in self.blocked or at + BLOCK_S <= now:
            return False
        if self._evidence.sound_at(trait) > at - SOUND_WINDOW_S:
            return False
        if self._is_explained(trait, self._evidence.suspects()):
            return False
        self._block(trait, at, crashes=0)
        return True

    def expire(self, now: float) -> None:
        """Drop blocks and evidence whose time is over.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.
        """
        for trait in [t for t, until in self.blocked.items() if until <= now]:
            self._unblock(trait)
        for trait in [t for t, until in self._probation.items() if until <= now]:
            del self._probation[trait]
        self._evidence.expire(now)

    def _find_cause(self, suspects: Mapping[str, set[CrashId]]) -> str | None:
        """Return the trait to block next, or None if all crashes are accounted for."""
        evidence = self._evidence
        requests, parts = self._find_candidates(suspects)
        request = max(
            requests,
            key=lambda r: (len(suspects[r]), evidence.call_count(r), r),
            default=None,
        )
        # The rarest part explains the crashes with the fewest calls blocked. Prompts
        # share less from part to part.
        part = min(
            parts,
            key=lambda p: (evidence.call_count(p), -evidence.depth(p), p),
            default=None,
        )
        if request is None or part is None:
            return request or part
        # A request that was in all crashes of the part explains them as well.
        covers = suspects[part] <= suspects[request]
        rarer = evidence.call_count(request) <= evidence.call_count(part)
        return request if covers and rarer else part

    def _find_candidates(
        self, suspects: Mapping[str, set[CrashId]]
    ) -> tuple[list[str], list[str]]:
        """Return the requests and the parts that have caused enough crashes.

        At least one of the crashes must have no blocked trait. For a request, all
        others count too: after a request has been blocked for the crashes of another
        one, the other one is known at its next crash. For a part, those of blocked
        requests count, which may share it with others.
        """
        unexplained = self._evidence.crashes_without(self.blocked)
        blocked_parts = {trait for trait in self.blocked if not is_request(trait)}
        outside_parts = self._evidence.crashes_without(blocked_parts)
        requests, parts = [], []
        for trait, crashes in suspects.items():
            others = len(crashes & unexplained)
            needed = 1 if trait in self._probation else CRASHES_TO_BLOCK
            if is_request(trait):
                if others and len(crashes) >= needed:
                    requests.append(trait)
            elif (
                others >= min(needed, OTHER_CRASHES_TO_BLOCK)
                and len(crashes & outside_parts) >= needed
            ):
                parts.append(trait)
        return requests, parts

    def _is_explained(self, trait: str, suspects: Mapping[str, set[CrashId]]) -> bool:
        """Return whether a request was only near the crashes of a blocked trait."""
        crashes = suspects.get(trait)
        if not crashes or not is_request(trait):
            return False
        others = (suspects.get(t, set()) for t in self.blocked if t != trait)
        return any(crashes < other for other in others)

    def _block(self, trait: str, at: float, *, crashes: int) -> None:
        self.blocked[trait] = at + BLOCK_S
        self._probation[trait] = at + BLOCK_S + PROBATION_S
        _log.warning("trait blocked", trait=trait, crashes=crashes)

    def _unblock(self, trait: str) -> None:
        del self.blocked[trait]
        self._decided = False
        _log.info("trait unblocked", trait=trait)
