"""The commands of the tool."""

import secrets
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import yaml

from toucanspool.config.records import KINDS
from toucanspool.config.view import key_hash
from toucanspool.ctl import printer
from toucanspool.ctl.client import AdminClient
from toucanspool.ctl.failures import BadUsage, Uncertain

LABELLED = ("upstream", "team", "request")
KEYED = ("team", "operator")
KEY_BYTES = 24
REMOVE_MARK = "-"


@dataclass(slots=True, frozen=True)
class Options:
    """Hold the flags that commands share.

    Parameters
    ----------
    dry_run : bool, default=False
        Only say what a change would do.
    change_id : str, default=""
        Name of the change, to repeat one safely; empty draws one.
    base : int, default=-1
        Revision that the operator saw; under 0 takes the newest.
    limit : int, default=20
        Changes listed.
    """

    dry_run: bool = False
    change_id: str = ""
    base: int = -1
    limit: int = 20


@dataclass(slots=True, frozen=True)
class Output:
    """Hold what a command found.

    Parameters
    ----------
    data : Any
        For scripts.
    text : str
        For people.
    """

    data: Any
    text: str


class Commands:
    """Carry out commands by the admin API.

    Parameters
    ----------
    client : AdminClient
        Calls the API.
    options : Options
        Shared flags.
    """

    __slots__ = ("_client", "_options")

    def __init__(self, client: AdminClient, options: Options) -> None:
        self._client = client
        self._options = options

    def run(self, words: Sequence[str]) -> Output:
        """Carry out the command that the words say.

        Parameters
        ----------
        words : sequence of str
            The command and its arguments.

        Returns
        -------
        Output

        Raises
        ------
        CommandFailed
            The command was not carried out.
        """
        commands: dict[str, tuple[Callable[..., Output], int, int]] = {
            "status": (self.status, 0, 0),
            "list": (self.list_records, 1, 1),
            "label": (self.label, 3, 66),
            "apply": (self.apply, 1, 1),
            "remove": (self.remove, 2, 2),
            "key": (self.key, 2, 2),
            "history": (self.history, 0, 0),
            "explain": (self.explain, 2, 2),
        }
        if not words or words[0] not in commands:
            known = ", ".join(commands)
            raise BadUsage(f"A command is due, one of: {known}. See --help.")
        command, least, most = commands[words[0]]
        if not least <= len(words) - 1 <= most:
            raise BadUsage(f"{words[0]} takes other arguments. See --help.")
        return command(*words[1:])

    def status(self) -> Output:
        """Show what an entry knows of the upstreams."""
        data = self._client.call("GET", "/admin/v1/status")
        return Output(data, printer.status_text(data))

    def list_records(self, kind: str) -> Output:
        """List the records of a kind."""
        data = self._records(kind)
        return Output(data, printer.records_text(data))

    def label(self, kind: str, name: str, *changes: str) -> Output:
        """Set labels by ``key=value`` and drop them by ``key-``."""
        if kind not in LABELLED:
            raise BadUsage(f"Labels go on one of: {', '.join(LABELLED)}.")
        data = self._records(kind)
        record = _find(data, kind, name)
        labels = dict(record.get("labels") or {})
        for change in changes:
            _change_label(labels, change)
        return self._change([{**record, "labels": labels}], [], data["revision"])

    def apply(self, path: str) -> Output:
        """Apply the records in a YAML file; ``remove: true`` deletes one."""
        try:
            items = yaml.safe_load(Path(path).read_text(encoding="utf-8"))
        except (OSError, yaml.YAMLError) as exc:
            raise BadUsage(f"{path} can't be read: {exc}") from exc
        if not isinstance(items, list) or not all(isinstance(i, dict) for i in items):
            raise BadUsage(f"{path} must be a list of records.")
        removals = [
            {"kind": item.get("kind"), "name": item.get("name")}
            for item in items
            if item.get("remove")
        ]
        puts = [item for item in items if not item.get("remove")]
        return self._change(puts, removals, self._newest())

    def remove(self, kind: str, name: str) -> Output:
        """Delete a record."""
        data = self._records(kind)
        return self._change([], [{"kind": kind, "name": name}], data["revision"])

    def key(self, kind: str, name: str) -> Output:
        """Draw a new key for a team or operator; it is shown once."""
        if kind not in KEYED:
            raise BadUsage(f"Keys are for one of: {', '.join(KEYED)}.")
        data = self._records(kind)
        record = _find(data, kind, name)
        drawn = secrets.token_urlsafe(KEY_BYTES)
        hashes = [*(record.get("key_hashes") or []), key_hash(drawn)]
        made = self._change([{**record, "key_hashes": hashes}], [], data["revision"])
        if self._options.dry_run:
            return made
        text = f"{made.text}\nThe key, shown only now: {drawn}"
        return Output({**made.data, "key": drawn}, text)

    def history(self) -> Output:
        """List the latest changes."""
        path = f"/admin/v1/changes?limit={self._options.limit}"
        data = self._client.call("GET", path)
        return Output(data, printer.changes_text(data))

    def explain(self, what: str, name: str) -> Output:
        """Say in a sentence what a change or a routing decision means."""
        if what == "change" and name.isdigit():
            data = self._client.call("GET", f"/admin/v1/explain/changes/{name}")
            return Output(data, data["sentence"])
        if what == "request":
            data = self._client.call("GET", f"/admin/v1/explain/requests/{name}")
            return Output(data, "\n".join([*data["sentences"], data["result"]]).strip())
        raise BadUsage("Say: explain change REVISION, or: explain request ID.")

    def _records(self, kind: str) -> dict[str, Any]:
        if kind not in KINDS:
            raise BadUsage(f"Kinds are {', '.join(KINDS)}.")
        return self._client.call("GET", f"/admin/v1/records/{kind}")

    def _newest(self) -> int:
        return self._client.call("GET", "/admin/v1/status")["revision"]

    def _change(self, puts: list[dict], removals: list[dict], revision: int) -> Output:
        options = self._options
        change_id = options.change_id or f"ctl-{secrets.token_hex(8)}"
        body = {
            "change_id": change_id,
            "base": revision if options.base < 0 else options.base,
            "puts": puts,
            "removals": removals,
            "dry_run": options.dry_run,
        }
        try:
            data = self._client.call("POST", "/admin/v1/changes", body)
        except Uncertain as exc:
            again = f"To repeat it safely, add --change_id={change_id}."
            raise Uncertain(f"{exc.sentence} {again}") from exc
        return Output(data, _change_text(data))


def _find(data: dict[str, Any], kind: str, name: str) -> dict[str, Any]:
    for record in data["records"]:
        if record["name"] == name:
            return record
    return {"kind": kind, "name": name}


def _change_label(labels: dict[str, str], change: str) -> None:
    if change.endswith(REMOVE_MARK) and "=" not in change:
        labels.pop(change[: -len(REMOVE_MARK)], None)
        return
    key, found, value = change.partition("=")
    if not found or not key or not value:
        raise BadUsage(f"{change!r} is neither key=value nor key-.")
    labels[key] = value


def _change_text(data: dict[str, Any]) -> str:
    if data.get("dry_run"):
        effects = [f"  {sentence}" for sentence in data["effects"]]
        return "\n".join([f"It would mean: {data['sentence']}", *effects])
    again = " (made by an earlier call)" if data["repeated"] else ""
    return f"Revision {data['revision']}{again}: {data['sentence']}"
