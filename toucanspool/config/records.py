"""Records of the configuration: what operators put, and each change's account."""

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
    """Report records that can't be accepted, every mistake at once.

    Parameters
    ----------
    mistakes : list of str
        One sentence each, starting with the path of the key.
    """

    def __init__(self, mistakes: list[str]) -> None:
        super().__init__("; ".join(mistakes))
        self.mistakes = mistakes


@dataclass(slots=True, frozen=True, config=FORBID_EXTRA)
class Upstream:
    """Put labels on an upstream, over those that the platform gives.

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
        Labels; ``share`` and ``priority`` weigh in limits.
    key_hashes : tuple of str
        SHA-256 of each key that the team may use, in hexadecimal.
    """

    name: Name
    labels: LabelMap = field(default_factory=dict)
    key_hashes: tuple[KeyHash, ...] = ()
    kind: Literal["team"] = "team"


@dataclass(slots=True, frozen=True, config=FORBID_EXTRA)
class Request:
    """Put labels on requests that fit a match.

    Parameters
    ----------
    name : str
        Name of the rule.
    when : Match
        Test of the request's own labels: ``model``, ``service``, ``method``,
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
    """Say where work may go, or which upstreams drain, stand by or serve.

    Parameters
    ----------
    name : str
        The selector's name.
    action : {"route", "drain", "standby", "serve"}
        What holds for what fits.
    order : int, default=100
        The lowest order that fits decides; ties go by name.
    work : Match
        The requests meant; only for ``route``.
    upstreams : Match
        The upstreams meant.
    """

    name: Name
    action: Literal["route", "drain", "standby", "serve"]
    order: int = 100
    work: Match = Match()
    upstreams: Match = Match()
    kind: Literal["selector"] = "selector"

    def sentence(self) -> str:
        """Return what the selector says in one sentence."""
        targets = self.upstreams.describe("upstreams")
        if self.action == "route":
            return f"{self.work.describe('requests').capitalize()} go to {targets}."
        doing = {"drain": "get no new work", "standby": "stand by", "serve": "serve"}
        return f"{targets.capitalize()} {doing[self.action]}."


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
    """Name a record that is deleted.

    Parameters
    ----------
    kind : str
        Kind of the record.
    name : str
        Its name.
    """

    kind: Literal["upstream", "team", "request", "selector", "operator"]
    name: Name


@dataclass(slots=True, frozen=True, config=FORBID_EXTRA)
class Change:
    """Hold one accepted change.

    Parameters
    ----------
    revision : int
        Its place in the order of all changes, from 1, without gaps.
    change_id : str
        Chosen by the operator's tool, the same when a call is repeated.
    operator : str
        Who made it.
    at : float
        Seconds since the epoch.
    sentence : str
        What it means, for a manager.
    puts : tuple of Record
        Records set.
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
    """Check a mapping and return the record that it describes.

    Parameters
    ----------
    data : mapping
        The record's fields, ``kind`` among them.

    Returns
    -------
    Upstream, Team, Request, Selector or Operator

    Raises
    ------
    BadRecord
        The mapping is no record.
    """
    try:
        return _RECORD.validate_python(data)
    except ValidationError as exc:
        raise BadRecord(_mistakes(exc)) from exc


def encode(value: Any) -> bytes:
    """Return a record or change as JSON.

    Parameters
    ----------
    value : Record or Change
        What is encoded.

    Returns
    -------
    bytes
    """
    return orjson.dumps(value)


def decode_record(data: bytes) -> Record:
    """Return the record in JSON made by `encode`.

    Parameters
    ----------
    data : bytes
        The JSON.

    Returns
    -------
    Record

    Raises
    ------
    BadRecord
        The JSON is no record.
    """
    try:
        return _RECORD.validate_json(data)
    except ValidationError as exc:
        raise BadRecord(_mistakes(exc)) from exc


def decode_change(data: bytes) -> Change:
    """Return the change in JSON made by `encode`.

    Parameters
    ----------
    data : bytes
        The JSON.

    Returns
    -------
    Change

    Raises
    ------
    BadRecord
        The JSON is no change.
    """
    try:
        return _CHANGE.validate_json(data)
    except ValidationError as exc:
        raise BadRecord(_mistakes(exc)) from exc


def _mistakes(exc: ValidationError) -> list[str]:
    return [
        f"{'.'.join(str(part) for part in error['loc']) or 'record'}: {error['msg']}"
        for error in exc.errors()
    ]
