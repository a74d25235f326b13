"""Settings of second attempts (hedged requests)."""

from typing import Annotated

from pydantic import Field

from toucanspool.settings.model import Model

MAX_RATIO = 0.1


class Hedging(Model):
    """Limit and time the second attempts at calls that are slow to answer.

    ``ratio`` is the share of extra calls; 0 is off. A call is slow after the
    ``percentile`` of recent calls like it, and after ``min_delay_ms``. Without
    ``services``, this holds for all services.
    """

    ratio: Annotated[float, Field(ge=0, le=MAX_RATIO, allow_inf_nan=False)]
    percentile: Annotated[float, Field(ge=50, le=99.9, allow_inf_nan=False)] = 95.0
    # A second attempt that saves less isn't worth its work.
    min_delay_ms: Annotated[float, Field(gt=0, le=60_000, allow_inf_nan=False)] = 10.0
    services: list[Annotated[str, Field(min_length=1, max_length=128)]] | None = None
