"""The configuration of one process at one revision."""

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
    """Report a change that doesn't directly follow the view's revision.

    Parameters
    ----------
    current : int
        The view's revision.
    received : int
        The change's revision.
    """

    def __init__(self, current: int, received: int) -> None:
        super().__init__(f"revision {received} does not follow {current}")
        self.current = current
        self.received = received


class View:
    """Hold all records by kind and name; the revision never decreases.

    Parameters
    ----------
    revision : int, default=0
        Revision of the records; 0 if there is no configuration.
    records : iterable of Record, default=()
        All records at that revision.
    """

    __slots__ = (
        "_keys",
        "_records",
        "_route_selectors",
        "_state_selectors",
        "revision",
    )

    def __init__(self, *, revision: int = 0, records: Iterable[Record] = ()) -> None:
        self.revision = revision
        self._records: dict[str, dict[str, Record]] = {kind: {} for kind in KINDS}
        self._keys = KeyIndex()
        for record in records:
            self._records[record.kind][record.name] = record
            self._keys.add(record)
        self._index_selectors()

    def apply(self, change: Change) -> bool:
        """Apply the next change.

        Parameters
        ----------
        change : Change
            The change.

        Returns
        -------
        bool
            False if the view already includes the change.

        Raises
        ------
        RevisionGap
            An earlier change is missing.
        """
        if change.revision <= self.revision:
            return False
        if change.revision != self.revision + 1:
            raise RevisionGap(self.revision, change.revision)
        changed_kinds = {item.kind for item in (*change.puts, *change.removals)}
        for item in (*change.puts, *change.removals):
            self._keys.discard(self._records[item.kind].pop(item.name, None))
        for record in change.puts:
            self._records[record.kind][record.name] = record
            self._keys.add(record)
        if "selector" in changed_kinds:
            self._index_selectors()
        self.revision = change.revision
        return True

    def copy(self) -> "View":
        """Return an independent copy.

        Returns
        -------
        View
        """
        clone = View()
        clone.revision = self.revision
        clone._records = {
            kind: dict(by_name) for kind, by_name in self._records.items()
        }
        clone._route_selectors = list(self._route_selectors)
        clone._state_selectors = list(self._state_selectors)
        clone._keys = self._keys.copy()
        return clone

    def all_records(self) -> list[Record]:
        """Return all records, ordered by kind and name.

        Returns
        -------
        list of Record
        """
        return [record for kind in KINDS for record in self.records(kind)]

    def routes(self) -> list[Selector]:
        """Return the selectors that route requests, in order of precedence.

        Returns
        -------
        list of Selector
        """
        return list(self._route_selectors)

    def records(self, kind: str) -> list[Record]:
        """Return the records of a kind, ordered by name.

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
        """Return a record, or None if there is none with this name.

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
        """Return the team that an API key belongs to, or None.

        Parameters
        ----------
        key : str
            The unhashed key, as the caller sent it.

        Returns
        -------
        Team or None
        """
        record = self._keys.owner("team", key_hash(key))
        return record if isinstance(record, Team) else None

    def operator_of(self, key: str) -> Operator | None:
        """Return the operator that an API key belongs to, or None.

        Parameters
        ----------
        key : str
            The unhashed key, as the operator sent it.

        Returns
        -------
        Operator or None
        """
        record = self._keys.owner("operator", key_hash(key))
        return record if isinstance(record, Operator) else None

    @property
    def keys(self) -> KeyIndex:
        """Index of the keys of all teams and operators."""
        return self._keys

    def upstream_labels(self, name: str, platform_labels: Labels) -> dict[str, str]:
        """Return an upstream's labels; operators' labels override the platform's.

        Parameters
        ----------
        name : str
            The upstream's name.
        platform_labels : mapping of str to str
            Labels of the upstream as the platform reports them.

        Returns
        -------
        dict of str to str
            Includes the label ``upstream`` with the upstream's name.
        """
        record = self._records["upstream"].get(name)
        return {
            **platform_labels,
            **(record.labels if record else {}),
            "upstream": name,
        }

    def request_labels(self, own_labels: Labels, team: Team) -> dict[str, str]:
        """Return a request's labels: its own, its team's, and the operators'.

        Parameters
        ----------
        own_labels : mapping of str to str
            Labels that the request itself carries.
        team : Team
            The caller's team.

        Returns
        -------
        dict of str to str
        """
        labels = dict(own_labels)
        labels["team"] = team.name
        labels.update({f"team.{key}": value for key, value in team.labels.items()})
        for rule in self.records("request"):
            if isinstance(rule, Request) and rule.when.matches(labels):
                labels.update(rule.labels)
        return labels

    def route(self, labels: Labels) -> Selector | None:
        """Return the selector that routes a request, or None if none matches.

        Parameters
        ----------
        labels : mapping of str to str
            The request's labels.

        Returns
        -------
        Selector or None
        """
        return next((s for s in self._route_selectors if s.work.matches(labels)), None)

    def state(self, labels: Labels) -> tuple[str, Selector | None]:
        """Return an upstream's state, and the selector that sets it.

        Parameters
        ----------
        labels : mapping of str to str
            The upstream's labels.

        Returns
        -------
        state : {"serve", "standby", "drain"}
            State of the upstream; ``"serve"`` if no selector matches.
        selector : Selector or None
            The first selector that matches, or None.
        """
        for selector in self._state_selectors:
            if selector.upstreams.matches(labels):
                return selector.action, selector
        return SERVE, None

    def _index_selectors(self) -> None:
        selectors = sorted(
            self._records["selector"].values(), key=lambda s: (s.order, s.name)
        )
        self._route_selectors = [s for s in selectors if s.action == "route"]
        self._state_selectors = [s for s in selectors if s.action != "route"]
