"""Fault injection shared by all stand-ins.

Each stand-in has one `Faults` object. Tests set it directly; the demo and process
tests set it over HTTP (``PUT /faults``).
"""

import time
from collections.abc import Callable


class FaultDown(Exception):
    """Report an injected outage: the call did not reach the stand-in."""


class FaultLostAnswer(Exception):
    """Report an injected loss of the answer after the write took effect."""


class Faults:
    """Hold the active faults.

    Parameters
    ----------
    sleep : callable, default=time.sleep
        Blocks a delayed call.

    Attributes
    ----------
    down : bool
        Fail each call before it has an effect.
    delay_s : float
        Delay each call by this many seconds.
    lose_answers : int
        Apply this many writes but lose their answers; -1 for all.
    freeze_s : float
        Delay only the next call by this many seconds.
    """

    __slots__ = ("_sleep", "delay_s", "down", "freeze_s", "lose_answers")

    def __init__(self, *, sleep: Callable[[float], None] = time.sleep) -> None:
        self._sleep = sleep
        self.clear()

    def clear(self) -> None:
        """Remove all faults."""
        self.down = False
        self.delay_s = 0.0
        self.lose_answers = 0
        self.freeze_s = 0.0

    def set(self, **faults: float) -> None:
        """Set faults by attribute name.

        Parameters
        ----------
        **faults : float
            Values by attribute name.

        Raises
        ------
        AttributeError
            No fault has this name.
        """
        for name, value in faults.items():
            getattr(self, name)
            setattr(self, name, value)

    def before(self) -> None:
        """Apply the faults that act before a call has an effect.

        Raises
        ------
        FaultDown
            The stand-in is down.
        """
        if self.freeze_s:
            wait, self.freeze_s = self.freeze_s, 0.0
            self._sleep(wait)
        if self.delay_s:
            self._sleep(self.delay_s)
        if self.down:
            raise FaultDown

    def after_write(self) -> None:
        """Apply the faults that act after a write took effect.

        Raises
        ------
        FaultLostAnswer
            The answer is lost.
        """
        if self.lose_answers:
            self.lose_answers -= 1 if self.lose_answers > 0 else 0
            raise FaultLostAnswer
