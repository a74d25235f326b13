"""The interface to the platform's list of instances, which lags behind."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

ROLE_ENTRY = "entry"
ROLE_AGENT = "agent"
STATE_LIVE = "live"
STATE_LEAVING = "leaving"


@dataclass(slots=True, frozen=True)
class Instance:
    """Hold one record of the instance list.

    Parameters
    ----------
    name : str
        Name of the instance; a replacement gets a new one.
    role : str
        ``"entry"`` or ``"agent"``.
    failure_domain : str
        Failure domain that it runs in.
    region : str
        Region of the failure domain.
    host : str
        IP address.
    port : int
        TCP port for messages between entries and agents.
    http_port : int, default=0
        TCP port of the callers' API; 0 for an agent.
    upstream : str, default=""
        Upstream that the agent runs next to; empty for an entry.
    state : str, default="live"
        ``"live"`` or ``"leaving"``.
    labels : mapping of str to str
        Labels set by the platform, such as the served model.
    """

    name: str
    role: str
    failure_domain: str
    region: str
    host: str
    port: int
    http_port: int = 0
    upstream: str = ""
    state: str = STATE_LIVE
    labels: Mapping[str, str] = field(default_factory=dict)


class InstancesUnavailable(Exception):
    """Report that the instance list could not be read."""


class InstanceList(Protocol):
    """Read the platform's instance list, which lags behind the actual state."""

    def read(self) -> list[Instance]:
        """Return all listed instances.

        Returns
        -------
        list of Instance

        Raises
        ------
        InstancesUnavailable
            The list could not be read.
        """
        ...
