"""The base of all settings, and the types that several sections share."""

from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field, model_validator

Port = Annotated[int, Field(ge=0, le=65535)]
Seconds = Annotated[float, Field(gt=0, le=3600)]
Text = Annotated[str, Field(min_length=1, max_length=128)]


class Model(BaseModel):
    """Reject unknown keys and be immutable; the base of all sections."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=False)


class Address(Model):
    """Hold a host and port; can also be written as a string ``HOST:PORT``."""

    host: Text
    port: Port

    @model_validator(mode="before")
    @classmethod
    def _parse_text(cls, value: Any) -> Any:
        if isinstance(value, str):
            host, _, port = value.rpartition(":")
            return {"host": host, "port": port}
        return value
