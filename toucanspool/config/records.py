"""Records of the configuration, and the changes that put or remove them."""

from dataclasses import field
from typing import Annotated, Any, Literal

import orjson
from pydantic import Field, TypeAdapter, ValidationError
from pydantic.dataclasses import dataclass

from toucanspool.config.match import FORBID_EXTRA, Match

NAME_PATTERN = r"^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$"
KEY_HASH_PATTERN = r"^[0-9a-f]{64}$"
SERVE = "serve"
STANDBY = "standby"
DRAIN = "drain"
MAX_LABEL_CHARS = 128
MAX_LABELS = 64

Name = Annotated[str, Field(pattern=NAME_PATTERN)]
LabelText = Annotated[str, Field(min_length=1, max_length=MAX_LABEL_CHARS)]
LabelMap = Annotated[dict[Name, LabelText], Field(max_length=MAX_LABELS)]
KeyHash = Annotated[str, Field(pattern=KEY_HASH_PATTERN)]


class BadRecord(Exception):
    """Report invalid records, with all validation errors.

    Parameters
    ----------
    errors : list of str
        One message for each error, prefixed with the path of the field.
    """

    def __init__(self, errors: list[str]) -> None:
        super().__init__("; ".join(errors))
        self.errors = errors


@dataclass(slots=True, frozen=True, config=FORBID_EXTRA)
class Upstream:
    """Set labels of an upstream, which override those that the platform reports.

    Parameters
    ----------
    name : str
        The upstream's name.
    labels : dict of str to str
        The labels.
    """

    name: Name
    labels: LabelMap = field(default_factory=dict)
    kind: Literal["upstream"] = "upstream"


@dataclass(slots=True, frozen=True, config=FORBID_EXTRA)
class Team:
    """Describe a team.

    Parameters
    ----------
    name : str
        The team's name.
    labels : dict of str to str
        Labels; limits read ``share`` and ``priority``.
    key_hashes : tuple of str
        SHA-256 of each key that the team may use, in hexadecimal.
    """

    name: Name
    labels: LabelMap = field(default_factory=dict)
    key_hashes: tuple[KeyHash, ...] = ()
    kind: Literal["team"] = "team"


@dataclass(slots=True, frozen=True, config=FORBID_EXTRA)
class Request:
    """Add labels to requests that satisfy a match.

    Parameters
    ----------
    name : str
        Name of the rule.
    when : Match
        Condition on the request's own labels: ``model``, ``service``, ``method``,
        ``team`` and ``team.KEY`` for each label of the team.
    labels : dict of str to str
        The labels added.
    """

    name: Name
    when: Match = Match()
    labels: LabelMap = field(default_factory=dict)
    kind: Literal["request"] = "request"


@dataclass(slots=True, frozen=True, config=FORBID_EXTRA)
class Selector:
    """Route requests to upstreams, or set the state of upstreams.

    Parameters
    ----------
    name : str
        The selector's name.
    action : {"route", "drain", "standby", "serve"}
        ``route`` sends requests to upstreams; the others set the upstreams' state.
    order : int, default=100
        The matching selector of lowest order applies; ties are broken by name.
    work : Match
        Requests that the selector applies to; only used by ``route``.
    upstreams : Match
        Upstreams that the selector applies to.
    """

    name: Name
    action: Literal["route", "drain", "standby", "serve"]
    order: int = 100
    work: Match = Match()
    upstreams: Match = Match()
    kind: Literal["selector"] = "selector"

    def sentence(self) -> str:
        """Describe the selector in one sentence."""
        targets = self.upstreams.describe("upstreams")
        if self.action == "route":
            return f"{self.work.describe('requests').capitalize()} go to {targets}."
        predicates = {
            "drain": "get no new work",
            "standby": "stand by",
            "serve": "serve",
        }
        return f"{targets.capitalize()} {predicates[self.action]}."


@dataclass(slots=True, frozen=True, config=FORBID_EXTRA)
class Operator:
    """Describe an operator.

    Parameters
    ----------
    name : str
        The operator's name.
    key_hashes : tuple of str
        SHA-256 of each key that the operator may use, in hexadecimal.
    """

    name: Name
    key_hashes: tuple[KeyHash, ...] = ()
    kind: Literal["operator"] = "operator"


Record = Annotated[
    Upstream | Team | Request | Selector | Operator, Field(discriminator="kind")
]
KINDS = ("upstream", "team", "request", "selector", "operator")


@dataclass(slots=True, frozen=True, config=FORBID_EXTRA)
class Removal:
    """Identify a record to delete.

    Parameters
    ----------
    kind : str
        Kind of the record.
    name : str
        Name of the record.
    """

    kind: Literal["upstream", "team", "request", "selector", "operator"]
    name: Name


@dataclass(slots=True, frozen=True, config=FORBID_EXTRA)
class Change:
    """Describe one accepted change.

    Parameters
    ----------
    revision : int
        Consecutive number of the change, from 1.
    change_id : str
        Idempotency key, chosen by the operator's tool and reused in repeated calls.
    operator : str
        Name of the operator who made the change.
    at : float
        When it was accepted, in seconds since the epoch.
    sentence : str
        Description of the change for people.
    puts : tuple of Record
        Records created or replaced.
    removals : tuple of Removal
        Records deleted.
    """

    revision: int
    change_id: str
    operator: str
    at: float
    sentence: str
    puts: tuple[Record, ...] = ()
    removals: tuple[Removal, ...] = ()


_RECORD = TypeAdapter(Record)
_CHANGE = TypeAdapter(Change)


def parse_record(data: Any) -> Record:
    """Validate a mapping and return its record.

    Parameters
    ----------
    data : mapping
        The record's fields, including ``kind``.

    Returns
    -------
    Upstream, Team, Request, Selector or Operator

    Raises
    ------
    BadRecord
        The mapping is not a valid record.
    """
    try:
        return _RECORD.validate_python(data)
    except ValidationError as exc:
        raise BadRecord(_error_messages(exc)) from exc


def encode(value: Any) -> bytes:
    """Return a record or change as JSON.

    Parameters
    ----------
    value : Record or Change
        Record or change to encode.

    Returns
    -------
    bytes
    """
    return orjson.dumps(value)


def decode_record(data: bytes) -> Record:
    """Return a record from JSON made by `encode`.

    Parameters
    ----------
    data : bytes
        Encoded record.

    Returns
    -------
    Record

    Raises
    ------
    BadRecord
        The JSON is not a valid record.
    """
    try:
        return _RECORD.validate_json(data)
    except ValidationError as exc:
        raise BadRecord(_error_messages(exc)) from exc


def decode_change(data: bytes) -> Change:
    """Return a change from JSON made by `encode`.

    Parameters
    ----------
    data : bytes
        Encoded change.

    Returns
    -------
    Change

    Raises
    ------
    BadRecord
        The JSON is not a valid change.
    """
    try:
        return _CHANGE.validate_json(data)
    except ValidationError as exc:
        raise BadRecord(_error_messages(exc)) from exc


def _error_messages(exc: ValidationError) -> list[str]:
    return [
        f"{'.'.join(str(part) for part in error['loc']) or 'record'}: {error['msg']}"
        for error in exc.errors()
    ]
