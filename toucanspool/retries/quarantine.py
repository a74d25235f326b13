"""Quarantine of prompts that crash the upstreams that answer them."""

import math
from collections import Counter, OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

import structlog

# Distinct incarnations of upstreams that must crash before a part is blocked.
CRASHES_TO_BLOCK = 3
BLOCK_S = 600.0
# A part that was blocked before is blocked again at its first crash within this time.
PROBATION_S = 600.0
EVIDENCE_S = 600.0
# A part that was sound this shortly before a crash, or after it, has not caused it.
SOUND_WINDOW_S = 5.0
MAX_CRASHES = 256
MAX_PARTS = 1024

Incarnation = tuple[str, int]
Prompt = tuple[str, ...]

_log = structlog.get_logger()


@dataclass(slots=True)
class _Crash:
    at: float
    prompts: set[Prompt] = field(default_factory=set)

    def parts(self) -> set[str]:
        return {part for prompt in self.prompts for part in prompt}


@dataclass(slots=True)
class _Part:
    calls: int = 0
    sound_at: float = -math.inf


class PromptQuarantine:
    """Block the calls whose prompts share a part that crashes upstreams.

    All calls that a crash may be due to are suspect with each part of their prompts. A
    part is cleared by calls that upstreams answer without a crash, so that after
    several crashes only the part that causes them is left.

    Attributes
    ----------
    blocked : dict of str to float
        Ends of the blocks by part, in seconds on the monotonic clock.
    """

    __slots__ = ("_crashes", "_parts", "_probation", "blocked")

    def __init__(self) -> None:
        self._crashes: OrderedDict[Incarnation, _Crash] = OrderedDict()
        self._parts: OrderedDict[str, _Part] = OrderedDict()
        self._probation: dict[str, float] = {}
        self.blocked: dict[str, float] = {}

    def remaining_s(self, prompt: Sequence[str], now: float) -> float:
        """Return for how long calls with a prompt are blocked.

        Parameters
        ----------
        prompt : sequence of str
            Shared parts of the prompt.
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        float
            Seconds; 0 if they are not blocked.
        """
        ends = (self.blocked.get(part, now) for part in prompt)
        return max(0.0, max(ends, default=now) - now)

    def record_call(self, prompt: Iterable[str]) -> None:
        """Count a new call with a prompt."""
        for part in prompt:
            self._part(part).calls += 1

    def record_sound(self, prompt: Iterable[str], now: float) -> None:
        """Record that an upstream has answered a prompt without a crash.

        Parameters
        ----------
        prompt : iterable of str
            Shared parts of the prompt.
        now : float
            Time of the answer, in seconds on the monotonic clock.
        """
        for part in prompt:
            known = self._part(part)
            known.sound_at = max(known.sound_at, now)
            blocked_at = self.blocked.get(part, math.inf) - BLOCK_S
            if now > blocked_at - SOUND_WINDOW_S:
                del self.blocked[part]
                _log.info("prompt part unblocked", part=part)

    def record_crash(
        self, incarnation: Incarnation, prompts: Iterable[Sequence[str]], at: float
    ) -> list[str]:
        """Record a crash and block the parts that have caused enough of them.

        Parameters
        ----------
        incarnation : tuple of (str, int)
            Name and start time of the upstream.
        prompts : iterable of sequence of str
            Prompts whose answers the crash may be due to.
        at : float
            Time of the crash, in seconds on the monotonic clock.

        Returns
        -------
        list of str
            Parts that are blocked from now on.
        """
        crash = self._crashes.setdefault(incarnation, _Crash(at))
        crash.prompts.update(tuple(prompt) for prompt in prompts)
        while len(self._crashes) > MAX_CRASHES:
            self._crashes.popitem(last=False)
        return self._block_causes(at)

    def cleared(self) -> dict[str, float]:
        """Return when the parts that have been cleared of a crash were last sound.

        Returns
        -------
        dict of str to float
            Seconds on the monotonic clock by part.
        """
        return {
            part: self._sound_at(part)
            for crash in self._crashes.values()
            for part in crash.parts()
            if self._is_cleared(part, crash)
        }

    def adopt(self, part: str, at: float, now: float) -> bool:
        """Block a part that other entries have blocked, unless it was sound here.

        Parameters
        ----------
        part : str
            The part.
        at : float
            Time at which it was blocked, in seconds on the monotonic clock.
        now : float
            Seconds on the monotonic clock.

        Returns
        -------
        bool
            Whether it is blocked from now on.
        """
        if part in self.blocked or at + BLOCK_S <= now:
            return False
        if self._sound_at(part) > at - SOUND_WINDOW_S:
            return False
        self._block(part, at, crashes=0)
        return True

    def expire(self, now: float) -> None:
        """Drop blocks and evidence whose time is over.

        Parameters
        ----------
        now : float
            Seconds on the monotonic clock.
        """
        for part in [part for part, until in self.blocked.items() if until <= now]:
            del self.blocked[part]
            _log.info("prompt part unblocked", part=part)
        for part in [part for part, until in self._probation.items() if until <= now]:
            del self._probation[part]
        old = [key for key, c in self._crashes.items() if c.at + EVIDENCE_S <= now]
        for incarnation in old:
            del self._crashes[incarnation]

    def _block_causes(self, now: float) -> list[str]:
        blocked = []
        while suspects := self._suspects():
            # The rarest suspect explains the crashes with the fewest calls blocked.
            # Prompts share less from part to part.
            part = min(suspects, key=lambda p: (self._calls(p), -self._depth(p), p))
            self._block(part, now, crashes=suspects[part])
            blocked.append(part)
        return blocked

    def _suspects(self) -> dict[str, int]:
        """Return the parts with enough crashes that no blocked part explains."""
        counts: Counter[str] = Counter()
        for crash in self._crashes.values():
            parts = crash.parts()
            if parts.isdisjoint(self.blocked):
                counts.update(p for p in parts if not self._is_cleared(p, crash))
        return {
            part: count
            for part, count in counts.items()
            if count >= (1 if part in self._probation else CRASHES_TO_BLOCK)
        }

    def _block(self, part: str, at: float, *, crashes: int) -> None:
        self.blocked[part] = at + BLOCK_S
        self._probation[part] = at + BLOCK_S + PROBATION_S
        _log.warning("prompt part blocked", part=part, crashes=crashes)

    def _depth(self, part: str) -> int:
        prompts = (p for crash in self._crashes.values() for p in crash.prompts)
        return max((p.index(part) for p in prompts if part in p), default=0)

    def _is_cleared(self, part: str, crash: _Crash) -> bool:
        return self._sound_at(part) > crash.at - SOUND_WINDOW_S

    def _calls(self, part: str) -> int:
        return self._parts[part].calls if part in self._parts else 0

    def _sound_at(self, part: str) -> float:
        return self._parts[part].sound_at if part in self._parts else -math.inf

    def _part(self, part: str) -> _Part:
        known = self._parts.setdefault(part, _Part())
        self._parts.move_to_end(part)
        if len(self._parts) > MAX_PARTS:
            self._parts.popitem(last=False)
        return known
