"""The configuration in force in one process, at one revision."""

from collections.abc import Iterable

from toucanspool.config.keys import KeyIndex, key_hash
from toucanspool.config.match import Labels
from toucanspool.config.records import (
    KINDS,
    SERVE,
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

    __slots__ = ("_keys", "_records", "_routes", "_states", "revision")

    def __init__(self, *, revision: int = 0, records: Iterable[Record] = ()) -> None:
        self.revision = revision
        self._records: dict[str, dict[str, Record]] = {kind: {} for kind in KINDS}
        self._keys = KeyIndex()
        for record in records:
            self._records[record.kind][record.name] = record
            self._keys.add(record)
        self._index_selectors()

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
        touched = {item.kind for item in (*change.puts, *change.removals)}
        for item in (*change.puts, *change.removals):
            self._keys.discard(self._records[item.kind].pop(item.name, None))
        for record in change.puts:
            self._records[record.kind][record.name] = record
            self._keys.add(record)
        if "selector" in touched:
            self._index_selectors()
        self.revision = change.revision
        return True

    def copy(self) -> "View":
        """Return a view of the same records that changes apart from this one.

        Returns
        -------
        View
        """
        twin = View()
        twin.revision = self.revision
        twin._records = {kind: dict(held) for kind, held in self._records.items()}
        twin._routes = list(self._routes)
        twin._states = list(self._states)
        twin._keys = self._keys.copy()
        return twin

    def all_records(self) -> list[Record]:
        """Return the records of all kinds by kind and name.

        Returns
        -------
        list of Record
        """
        return [record for kind in KINDS for record in self.records(kind)]

    def routes(self) -> list[Selector]:
        """Return the selectors that say where work may go, the deciding one first.

        Returns
        -------
        list of Selector
        """
        return list(self._routes)

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
        record = self._keys.owner("team", key_hash(key))
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
        record = self._keys.owner("operator", key_hash(key))
        return record if isinstance(record, Operator) else None

    @property
    def keys(self) -> KeyIndex:
        """Keys of all teams and operators."""
        return self._keys

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
            if isinstance(rule, Request) and rule.when.matches(labels):
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
        return next((s for s in self._routes if s.work.matches(work)), None)

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
            if selector.upstreams.matches(labels):
                return selector.action, selector
        return SERVE, None

    def _index_selectors(self) -> None:
        selectors = sorted(
            self._records["selector"].values(), key=lambda s: (s.order, s.name)
        )
        self._routes = [s for s in selectors if s.action == "route"]
        self._states = [s for s in selectors if s.action != "route"]
