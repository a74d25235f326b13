"""The base of all sections of the settings."""

from pydantic import BaseModel, ConfigDict


class Model(BaseModel):
    """Reject unknown keys and be immutable; the base of all sections."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=False)
