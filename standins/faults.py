"""Fault orders that every stand-in understands.

One `Faults` object sits in each stand-in; tests set it directly, the demo over
HTTP (``PUT /faults``).
"""

import time
from collections.abc import Callable


class FaultDown(Exception):
    """Stand for a call that never reached the stand-in."""


class FaultLostAnswer(Exception):
    """Stand for an answer lost after the work was done."""


class Faults:
    """Hold the faults in force.

    Parameters
    ----------
    sleep : callable, default=time.sleep
        How a slow answer waits.

    Attributes
    ----------
    down : bool
        Refuse each call before its work.
    delay_s : float
        Wait this long before the work of each call.
    lose_answers : int
        Do the work of this many writes, then lose the answer; -1 for all.
    freeze_s : float
        Wait this long once, before the next call.
    """

    __slots__ = ("_sleep", "delay_s", "down", "freeze_s", "lose_answers")

    def __init__(self, *, sleep: Callable[[float], None] = time.sleep) -> None:
        self._sleep = sleep
        self.clear()

    def clear(self) -> None:
        """Lift all faults."""
        self.down = False
        self.delay_s = 0.0
        self.lose_answers = 0
        self.freeze_s = 0.0

    def set(self, **orders: float) -> None:
        """Set faults by attribute name.

        Parameters
        ----------
        **orders : float
            Attribute names and values.

        Raises
        ------
        AttributeError
            There is no such fault.
        """
        for name, value in orders.items():
            getattr(self, name)
            setattr(self, name, value)

    def before(self) -> None:
        """Apply the faults that come before a call's work.

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
        """Apply the faults that come after a write took effect.

        Raises
        ------
        FaultLostAnswer
            The answer is lost.
        """
        if self.lose_answers:
            self.lose_answers -= 1 if self.lose_answers > 0 else 0
            raise FaultLostAnswer
