"""Models of the settings of a process, and the function that reads them."""

from pathlib import Path
from typing import Annotated, Any, Literal

import yaml
from pydantic import Field, ValidationError, model_validator

from toucanspool.limits.process_limits import ProcessLimits
from toucanspool.settings.hedging import Hedging
from toucanspool.settings.model import Address, Model, Port, Seconds, Text
from toucanspool.settings.row_store import RowStore

ROLES = ("entry", "agent", "gateway", "rank_agent")
# Roles that use a table, an object store and an instance list (section `platform`).
PLATFORM_ROLES = ("entry", "agent")


class SettingsError(Exception):
    """Report all errors in a settings file.

    Parameters
    ----------
    path : str
        Path of the file.
    errors : list of str
        One message for each: key path, value found, values allowed.
    """

    def __init__(self, path: str, errors: list[str]) -> None:
        lines = "\n".join(f"  {line}" for line in errors)
        super().__init__(f"{path}: {len(errors)} mistakes\n{lines}")
        self.path = path
        self.errors = errors


class Platform(Model):
    """Hold the addresses of the platform's services and the timeout of calls."""

    table: Address
    objects: Address
    instances: Address
    timeout_s: Seconds = 2.0


class Http(Model):
    """Configure the HTTP server of an entry, for callers and operators."""

    port: Port
    max_body_bytes: Annotated[int, Field(ge=1024, le=64 * 1024 * 1024)] = 1024 * 1024
    body_timeout_s: Seconds = 10.0
    idle_timeout_s: Seconds = 60.0


class Group(Model):
    """Describe a lock-step group whose experts are rebalanced by entries.

    Raise ``skew_weight`` where each step delays callers, and ``move_weight`` where
    loading of weights delays other work.
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
    """Configure the entry role."""

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
    """List the ranks of a lock-step group that an agent serves."""

    group: Text
    ranks: Annotated[list[Annotated[int, Field(ge=0)]], Field(min_length=1)]


class Agent(Model):
    """Configure the agent role."""

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
    def _check_kind(self) -> "Agent":
        field = {"engine": "model", "service": "service", "ranks": "ranks"}[self.kind]
        if not getattr(self, field):
            raise ValueError(f"kind is {self.kind}, so {field!r} is due")
        return self


class Drain(Model):
    """Configure the graceful stop of a process."""

    grace_s: Seconds = 30.0


class Limits(Model):
    """Tell what the process may use; by default, all that the system allows it."""

    # In MB (10**6 bytes), with what the kernel holds for connections.
    memory_mb: Annotated[float, Field(gt=0)] | None = None
    descriptors: Annotated[int, Field(ge=1)] | None = None

    def resolve(self) -> ProcessLimits:
        """Return the limits with what the system says for those that are not set."""
        return ProcessLimits.of(self.memory_mb, self.descriptors)


class RetryBudget(Model):
    """Limit the retries that all entries together send to a service."""

    ratio: Annotated[float, Field(ge=0, le=1)] = 0.2
    window_s: Seconds = 10.0
    extra: Annotated[float, Field(ge=0)] = 0.0


class ColdStarts(Model):
    """Bound the requests in any one second to upstreams that have just started.

    A cold upstream gets at most its service's rate times ``overrun``, and ``slack``
    requests more.
    """

    overrun: Annotated[float, Field(gt=0, le=1000)]
    slack: Annotated[float, Field(ge=0, le=1_000_000)] = 0.0


class Gateway(Model):
    """Configure the gateway role, which sends calls by route to upstreams."""

    callers: Address
    readiness: Address
    directory: Address
    metrics: Address | None = None
    store: RowStore
    retries: RetryBudget = RetryBudget()
    # Without it, requests to cold upstreams have no bound.
    cold_starts: ColdStarts | None = None
    hedging: Hedging | None = None
    address_ttl_s: Seconds = 2.0
    # Replies that are no streams are held in memory until they are complete.
    max_reply_bytes: Annotated[int, Field(ge=1024, le=1 << 30)] = 8 * 1024 * 1024
    # Bound on what is held for all requests and replies together; 0 for none.
    max_held_bytes: Annotated[int, Field(ge=0, le=1 << 36)] = 0
    # Callers that read nothing for this long are disconnected; None leaves them the
    # time of idle connections.
    caller_stall_s: Seconds | None = None


class RankAgent(Model):
    """Configure the rank agent role: the agent of one rank of a lock-step group."""

    engine: Address
    service: Text
    store: RowStore
    link_mbit_per_s: Annotated[float, Field(gt=0)] = 1000.0
    metrics: Address | None = None


class Settings(Model):
    """Hold all settings of a process; ``zones`` has regions by failure domain."""

    instance: Text
    role: Literal["entry", "agent", "gateway", "rank_agent"]
    failure_domain: Text
    region: Text = "default"
    zones: dict[Text, Text] | None = None
    host: Text
    port: Port
    platform: Platform | None = None
    entry: Entry | None = None
    agent: Agent | None = None
    gateway: Gateway | None = None
    rank_agent: RankAgent | None = None
    drain: Drain = Drain()
    limits: Limits = Limits()
    config_interval_s: Seconds = 2.0
    instances_interval_s: Seconds = 2.0
    log_level: Literal["debug", "info", "warning", "error"] = "info"
    seed: int = 0

    @model_validator(mode="after")
    def _check_sections(self) -> "Settings":
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


def load_settings(path: str) -> Settings:
    """Read and validate a settings file.

    Parameters
    ----------
    path : str
        Path of the file.

    Returns
    -------
    Settings

    Raises
    ------
    SettingsError
        The file can't be read or has errors; all of them are reported.
    """
    try:
        data = yaml.safe_load(Path(path).read_text(encoding="utf-8"))
    except OSError as exc:
        raise SettingsError(path, [f"can't be read: {exc.strerror}"]) from exc
    except (yaml.YAMLError, UnicodeError, RecursionError) as exc:
        raise SettingsError(path, [f"is not YAML: {exc}"]) from exc
    try:
        return Settings.model_validate(data)
    except ValidationError as exc:
        raise SettingsError(path, [_message(error) for error in exc.errors()]) from exc


def _message(error: Any) -> str:
    key_path = ".".join(str(part) for part in error["loc"]) or "(top)"
    if error["type"] == "extra_forbidden":
        return f"{key_path}: unknown key"
    if error["type"] == "missing":
        return f"{key_path}: missing; a value is due"
    if error["type"] in ("value_error", "model_type"):
        return f"{key_path}: {error['msg']}"
    return f"{key_path}: found {error['input']!r}; {error['msg']}"
