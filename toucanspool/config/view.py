"""The configuration in force in one process, at one revision."""

import hashlib
from collections.abc import Iterable

from toucanspool.config.match import Labels
from toucanspool.config.records import (
    KINDS,
    Change,
    Operator,
    Record,
    Request,
    Selector,
    Team,
)


class RevisionGap(Exception):
    """Report that changes are missing between the view and a change.

    Parameters
    ----------
    have : int
        The view's revision.
    got : int
        The change's revision.
    """

    def __init__(self, have: int, got: int) -> None:
        super().__init__(f"revision {got} does not follow {have}")
        self.have = have
        self.got = got


class View:
    """Hold records by kind and name; goes forward only.

    Parameters
    ----------
    revision : int, default=0
        Revision of the records; 0 is no configuration.
    records : iterable of Record, default=()
        All records at that revision.
    """

    __slots__ = ("_records", "_routes", "_states", "_teams", "revision")

    def __init__(self, *, revision: int = 0, records: Iterable[Record] = ()) -> None:
        self.revision = revision
        self._records: dict[str, dict[str, Record]] = {kind: {} for kind in KINDS}
        for record in records:
            self._records[record.kind][record.name] = record
        self._index()

    def apply(self, change: Change) -> bool:
        """Put the next change in force.

        Parameters
        ----------
        change : Change
            The change.

        Returns
        -------
        bool
            False for a change that is in force already.

        Raises
        ------
        RevisionGap
            A change before this one is missing.
        """
        if change.revision <= self.revision:
            return False
        if change.revision != self.revision + 1:
            raise RevisionGap(self.revision, change.revision)
        for record in change.puts:
            self._records[record.kind][record.name] = record
        for removal in change.removals:
            self._records[removal.kind].pop(removal.name, None)
        self.revision = change.revision
        self._index()
        return True

    def records(self, kind: str) -> list[Record]:
        """Return the records of a kind by name.

        Parameters
        ----------
        kind : str
            One of `KINDS`.

        Returns
        -------
        list of Record
        """
        return [self._records[kind][name] for name in sorted(self._records[kind])]

    def get(self, kind: str, name: str) -> Record | None:
        """Return one record, or None.

        Parameters
        ----------
        kind : str
            One of `KINDS`.
        name : str
            The record's name.

        Returns
        -------
        Record or None
        """
        return self._records[kind].get(name)

    def team_of(self, key: str) -> Team | None:
        """Return the team that a key belongs to, or None.

        Parameters
        ----------
        key : str
            The key as the caller sent it.

        Returns
        -------
        Team or None
        """
        record = self._teams.get(("team", key_hash(key)))
        return record if isinstance(record, Team) else None

    def operator_of(self, key: str) -> Operator | None:
        """Return the operator that a key belongs to, or None.

        Parameters
        ----------
        key : str
            The key as the operator sent it.

        Returns
        -------
        Operator or None
        """
        record = self._teams.get(("operator", key_hash(key)))
        return record if isinstance(record, Operator) else None

    def upstream_labels(self, name: str, given: Labels) -> dict[str, str]:
        """Return an upstream's labels, the operators' over the platform's.

        Parameters
        ----------
        name : str
            The upstream's name.
        given : mapping of str to str
            The labels that the platform gives.

        Returns
        -------
        dict of str to str
        """
        record = self._records["upstream"].get(name)
        return {**given, **(record.labels if record else {}), "upstream": name}

    def request_labels(self, own: Labels, team: Team) -> dict[str, str]:
        """Return a request's labels: its own, its team's, and the operators'.

        Parameters
        ----------
        own : mapping of str to str
            What the request says of itself.
        team : Team
            The caller's team.

        Returns
        -------
        dict of str to str
        """
        labels = dict(own)
        labels["team"] = team.name
        labels.update({f"team.{key}": value for key, value in team.labels.items()})
        for rule in self.records("request"):
            if isinstance(rule, Request) and rule.when.fits(labels):
                labels.update(rule.labels)
        return labels

    def route(self, work: Labels) -> Selector | None:
        """Return the selector that says where a request may go, or None.

        Parameters
        ----------
        work : mapping of str to str
            The request's labels.

        Returns
        -------
        Selector or None
        """
        return next((s for s in self._routes if s.work.fits(work)), None)

    def state(self, labels: Labels) -> tuple[str, Selector | None]:
        """Return whether an upstream serves, and the selector that says so.

        Parameters
        ----------
        labels : mapping of str to str
            The upstream's labels.

        Returns
        -------
        state : {"serve", "standby", "drain"}
            What the upstream does.
        selector : Selector or None
            None where no selector fits, and it serves.
        """
        for selector in self._states:
            if selector.upstreams.fits(labels):
                return selector.action, selector
        return "serve", None

    def _index(self) -> None:
        selectors = sorted(
            self._records["selector"].values(), key=lambda s: (s.order, s.name)
        )
        self._routes = [s for s in selectors if s.action == "route"]
        self._states = [s for s in selectors if s.action != "route"]
        self._teams = {
            (kind, hashed): record
            for kind in ("team", "operator")
            for record in self._records[kind].values()
            for hashed in record.key_hashes
        }


def key_hash(key: str) -> str:
    """Return the hash kept of a key.

    Parameters
    ----------
    key : str
        The key.

    Returns
    -------
    str
        SHA-256 in hexadecimal.
    """
    return hashlib.sha256(key.encode()).hexdigest()
