"""Settings of one process, read from a YAML file and checked whole."""

from pathlib import Path
from typing import Annotated, Any, Literal

import yaml
from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

ROLES = ("entry", "agent", "gateway", "rank_agent")
# These roles use a table, an object store and an instance list of their own.
PLATFORM_ROLES = ("entry", "agent")

Port = Annotated[int, Field(ge=0, le=65535)]
Seconds = Annotated[float, Field(gt=0, le=3600)]
Text = Annotated[str, Field(min_length=1, max_length=128)]


class SettingsError(Exception):
    """Report every mistake in a settings file.

    Parameters
    ----------
    path : str
        The file.
    mistakes : list of str
        One line each: key path, what was found, what is allowed.
    """

    def __init__(self, path: str, mistakes: list[str]) -> None:
        lines = "\n".join(f"  {line}" for line in mistakes)
        super().__init__(f"{path}: {len(mistakes)} mistakes\n{lines}")
        self.path = path
        self.mistakes = mistakes


class Model(BaseModel):
    """Refuse unknown keys."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=False)


class Address(Model):
    """Name a place to connect to; also read from a text ``HOST:PORT``."""

    host: Text
    port: Port

    @model_validator(mode="before")
    @classmethod
    def _from_text(cls, value: Any) -> Any:
        if isinstance(value, str):
            host, _, port = value.rpartition(":")
            return {"host": host, "port": port}
        return value


class Platform(Model):
    """Name the platform's services."""

    table: Address
    objects: Address
    instances: Address
    timeout_s: Seconds = 2.0


class Http(Model):
    """Set the callers' and operators' HTTP side of an entry."""

    port: Port
    max_body_bytes: Annotated[int, Field(ge=1024, le=64 * 1024 * 1024)] = 1024 * 1024
    body_timeout_s: Seconds = 10.0
    idle_timeout_s: Seconds = 60.0


class Group(Model):
    """Describe a lock-step group that entries rebalance.

    ``skew_weight`` is raised where callers wait on every step; ``move_weight`` where
    loading weights holds up other work.
    """

    name: Text
    ranks: Annotated[int, Field(ge=1, le=4096)]
    layers: Annotated[int, Field(ge=1, le=512)]
    experts: Annotated[int, Field(ge=1, le=32767)]
    slots: Annotated[int, Field(ge=1, le=1024)]
    skew_weight: Annotated[float, Field(gt=0)] = 1.0
    move_weight: Annotated[float, Field(gt=0)] = 1.0
    expert_bytes: Annotated[float, Field(gt=0)] = 44e6
    store_bytes_per_s: Annotated[float, Field(gt=0)] = 1e9
    lease_ttl_s: Seconds = 9.0


class Entry(Model):
    """Set the entry role."""

    http: Http
    max_in_flight: Annotated[int, Field(ge=1, le=100_000)] = 512
    max_waiting: Annotated[int, Field(ge=0, le=100_000)] = 256
    default_timeout_s: Seconds = 120.0
    max_timeout_s: Seconds = 600.0
    address_ttl_s: Seconds = 5.0
    addresses_per_team: Annotated[int, Field(ge=1, le=64)] = 3
    retry_ratio: Annotated[float, Field(ge=0, le=1)] = 0.1
    groups: list[Group] = []
    bootstrap_operator_key_hash: Annotated[str, Field(pattern=r"^([0-9a-f]{64})?$")] = (
        ""
    )


class Ranks(Model):
    """Name the ranks of a lock-step group beside an agent."""

    group: Text
    ranks: Annotated[list[Annotated[int, Field(ge=0)]], Field(min_length=1)]


class Agent(Model):
    """Set the agent role."""

    upstream: Text
    address: Address
    kind: Literal["engine", "service", "ranks"]
    model: str = ""
    service: str = ""
    ranks: Ranks | None = None
    guarded: bool = False
    max_running: Annotated[int, Field(ge=1, le=100_000)] = 256
    load_interval_s: Seconds = 0.25

    @model_validator(mode="after")
    def _named(self) -> "Agent":
        wanted = {"engine": "model", "service": "service", "ranks": "ranks"}[self.kind]
        if not getattr(self, wanted):
            raise ValueError(f"kind is {self.kind}, so {wanted!r} is due")
        return self


class Drain(Model):
    """Set how a process stops."""

    grace_s: Seconds = 30.0


class RowStore(Model):
    """Name the store of rows that lists upstreams, routes and entries.

    ``drain_ms`` is the time within which an upstream that leaves gets no new work.
    """

    address: Address
    feed_wait_s: Seconds = 20.0
    drain_ms: Annotated[float, Field(gt=0)] = 2000.0

    @property
    def list_interval_s(self) -> float:
        """Return how often the list is read, in seconds.

        Half of the time within which an upstream that leaves gets no new work.
        """
        return self.drain_ms / 2000.0


class RetryBudget(Model):
    """Bound the repeats that all entries together may send to a service."""

    ratio: Annotated[float, Field(ge=0, le=1)] = 0.2
    window_s: Seconds = 10.0
    extra: Annotated[float, Field(ge=0)] = 0.0


class Gateway(Model):
    """Set the gateway role: calls by route, straight to upstreams."""

    callers: Address
    readiness: Address
    directory: Address
    metrics: Address | None = None
    store: RowStore
    retries: RetryBudget = RetryBudget()
    address_ttl_s: Seconds = 2.0


class RankAgent(Model):
    """Set the rank agent role: the agent beside one rank of a lock-step group."""

    engine: Address
    service: Text
    store: RowStore
    link_mbit_per_s: Annotated[float, Field(gt=0)] = 1000.0
    metrics: Address | None = None


class Settings(Model):
    """Hold all settings of a process."""

    instance: Text
    role: Literal["entry", "agent", "gateway", "rank_agent"]
    failure_domain: Text
    region: Text = "default"
    host: Text
    port: Port
    platform: Platform | None = None
    entry: Entry | None = None
    agent: Agent | None = None
    gateway: Gateway | None = None
    rank_agent: RankAgent | None = None
    drain: Drain = Drain()
    config_interval_s: Seconds = 2.0
    instances_interval_s: Seconds = 2.0
    log_level: Literal["debug", "info", "warning", "error"] = "info"
    seed: int = 0

    @model_validator(mode="after")
    def _role_section(self) -> "Settings":
        if getattr(self, self.role) is None:
            raise ValueError(f"role is {self.role}, so a section {self.role!r} is due")
        for other in ROLES:
            if other != self.role and getattr(self, other) is not None:
                raise ValueError(
                    f"role is {self.role}, so section {other!r} has no use"
                )
        if self.role in PLATFORM_ROLES and self.platform is None:
            raise ValueError(f"role is {self.role}, so a section 'platform' is due")
        return self


def load(path: str) -> Settings:
    """Read and check a settings file.

    Parameters
    ----------
    path : str
        The file.

    Returns
    -------
    Settings

    Raises
    ------
    SettingsError
        The file can't be read or holds mistakes; all are reported.
    """
    try:
        data = yaml.safe_load(Path(path).read_text(encoding="utf-8"))
    except OSError as exc:
        raise SettingsError(path, [f"can't be read: {exc.strerror}"]) from exc
    except yaml.YAMLError as exc:
        raise SettingsError(path, [f"is not YAML: {exc}"]) from exc
    try:
        return Settings.model_validate(data)
    except ValidationError as exc:
        raise SettingsError(path, [_mistake(error) for error in exc.errors()]) from exc


def _mistake(error: Any) -> str:
    where = ".".join(str(part) for part in error["loc"]) or "(top)"
    if error["type"] == "extra_forbidden":
        return f"{where}: unknown key"
    if error["type"] == "missing":
        return f"{where}: missing; a value is due"
    if error["type"] in ("value_error", "model_type"):
        return f"{where}: {error['msg']}"
    return f"{where}: found {error['input']!r}; {error['msg']}"
