"""The platform's lagging list of instances."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Protocol

ROLE_ENTRY = "entry"
ROLE_AGENT = "agent"
STATE_LIVE = "live"
STATE_LEAVING = "leaving"


@dataclass(slots=True, frozen=True)
class Instance:
    """Hold what the platform says of one instance.

    Parameters
    ----------
    name : str
        The instance's name, new for each replacement.
    role : str
        ``"entry"`` or ``"agent"``.
    failure_domain : str
        Where it runs.
    region : str
        The region of that failure domain.
    host : str
        IP number.
    port : int
        Port of the project's own messages.
    http_port : int, default=0
        Port of the callers' API; 0 for an agent.
    upstream : str, default=""
        The upstream beside an agent.
    state : str, default="live"
        ``"live"`` or ``"leaving"``.
    labels : mapping of str to str
        Labels that the platform gives, such as the model served.
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
    """Report that the platform's list did not answer."""


class InstanceList(Protocol):
    """Read the platform's list, which lags behind the truth."""

    def read(self) -> list[Instance]:
        """Return all instances listed now.

        Returns
        -------
        list of Instance

        Raises
        ------
        InstancesUnavailable
            The list did not answer.
        """
        ...
