"""The commands of the command-line tool."""

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
from toucanspool.ctl.failures import OutcomeUnknown, UsageError

KINDS_WITH_LABELS = ("upstream", "team", "request")
KINDS_WITH_KEYS = ("team", "operator")
KEY_BYTES = 24
REMOVAL_SUFFIX = "-"


@dataclass(slots=True, frozen=True)
class Options:
    """Hold the flags that apply to several commands.

    Parameters
    ----------
    dry_run : bool, default=False
        Whether a change is only described and not made.
    change_id : str, default=""
        Id of the change, so that it can be repeated safely; empty generates one.
    base : int, default=-1
        Revision that the operator saw; a negative number takes the newest.
    limit : int, default=20
        Largest number of changes that `Commands.history` lists.
    """

    dry_run: bool = False
    change_id: str = ""
    base: int = -1
    limit: int = 20


@dataclass(slots=True, frozen=True)
class Output:
    """Hold the output of a command.

    Parameters
    ----------
    data : Any
        Output for scripts; printed as JSON.
    text : str
        Output for people.
    """

    data: Any
    text: str


class Commands:
    """Run commands through the admin API.

    Parameters
    ----------
    client : AdminClient
        Client of the API.
    options : Options
        Flags of the command line.
    """

    __slots__ = ("_client", "_options")

    def __init__(self, client: AdminClient, options: Options) -> None:
        self._client = client
        self._options = options

    def run(self, args: Sequence[str]) -> Output:
        """Run a command.

        Parameters
        ----------
        args : sequence of str
            Name of the command and its arguments.

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
        if not args or args[0] not in commands:
            known = ", ".join(commands)
            raise UsageError(f"A command is due, one of: {known}. See --help.")
        command, min_args, max_args = commands[args[0]]
        if not min_args <= len(args) - 1 <= max_args:
            raise UsageError(f"{args[0]} takes other arguments. See --help.")
        return command(*args[1:])

    def status(self) -> Output:
        """Show the state of all upstreams as one entry sees it."""
        data = self._client.call("GET", "/admin/v1/status")
        return Output(data, printer.status_text(data))

    def list_records(self, kind: str) -> Output:
        """List all records of a kind."""
        data = self._fetch_records(kind)
        return Output(data, printer.records_text(data))

    def label(self, kind: str, name: str, *changes: str) -> Output:
        """Set labels with ``key=value`` and remove them with ``key-``."""
        if kind not in KINDS_WITH_LABELS:
            raise UsageError(f"Labels go on one of: {', '.join(KINDS_WITH_LABELS)}.")
        data = self._fetch_records(kind)
        record = _find_or_new(data, kind, name)
        labels = dict(record.get("labels") or {})
        for change in changes:
            _edit_label(labels, change)
        return self._post_change([{**record, "labels": labels}], [], data["revision"])

    def apply(self, path: str) -> Output:
        """Apply the records in a YAML file; ``remove: true`` deletes one."""
        try:
            items = yaml.safe_load(Path(path).read_text(encoding="utf-8"))
        except (OSError, yaml.YAMLError) as exc:
            raise UsageError(f"{path} can't be read: {exc}") from exc
        if not isinstance(items, list) or not all(isinstance(i, dict) for i in items):
            raise UsageError(f"{path} must be a list of records.")
        removals = [
            {"kind": item.get("kind"), "name": item.get("name")}
            for item in items
            if item.get("remove")
        ]
        puts = [item for item in items if not item.get("remove")]
        return self._post_change(puts, removals, self._newest_revision())

    def remove(self, kind: str, name: str) -> Output:
        """Delete a record."""
        data = self._fetch_records(kind)
        return self._post_change([], [{"kind": kind, "name": name}], data["revision"])

    def key(self, kind: str, name: str) -> Output:
        """Add a new API key to a team or operator.

        Only its hash is sent, so the key can't be shown again.
        """
        if kind not in KINDS_WITH_KEYS:
            raise UsageError(f"Keys are for one of: {', '.join(KINDS_WITH_KEYS)}.")
        data = self._fetch_records(kind)
        record = _find_or_new(data, kind, name)
        new_key = secrets.token_urlsafe(KEY_BYTES)
        hashes = [*(record.get("key_hashes") or []), key_hash(new_key)]
        output = self._post_change(
            [{**record, "key_hashes": hashes}], [], data["revision"]
        )
        if self._options.dry_run:
            return output
        text = f"{output.text}\nThe key, shown only now: {new_key}"
        return Output({**output.data, "key": new_key}, text)

    def history(self) -> Output:
        """List the latest changes."""
        path = f"/admin/v1/changes?limit={self._options.limit}"
        data = self._client.call("GET", path)
        return Output(data, printer.changes_text(data))

    def explain(self, subject: str, name: str) -> Output:
        """Describe a change or a routing decision in sentences."""
        if subject == "change" and name.isdigit():
            data = self._client.call("GET", f"/admin/v1/explain/changes/{name}")
            return Output(data, data["sentence"])
        if subject == "request":
            data = self._client.call("GET", f"/admin/v1/explain/requests/{name}")
            return Output(data, "\n".join([*data["sentences"], data["result"]]).strip())
        raise UsageError("Say: explain change REVISION, or: explain request ID.")

    def _fetch_records(self, kind: str) -> dict[str, Any]:
        if kind not in KINDS:
            raise UsageError(f"Kinds are {', '.join(KINDS)}.")
        return self._client.call("GET", f"/admin/v1/records/{kind}")

    def _newest_revision(self) -> int:
        return self._client.call("GET", "/admin/v1/status")["revision"]

    def _post_change(
        self, puts: list[dict], removals: list[dict], revision: int
    ) -> Output:
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
        except OutcomeUnknown as exc:
            hint = f"To repeat it safely, add --change_id={change_id}."
            raise OutcomeUnknown(f"{exc.message} {hint}") from exc
        return Output(data, _format_change(data))


def _find_or_new(data: dict[str, Any], kind: str, name: str) -> dict[str, Any]:
    for record in data["records"]:
        if record["name"] == name:
            return record
    return {"kind": kind, "name": name}


def _edit_label(labels: dict[str, str], change: str) -> None:
    if change.endswith(REMOVAL_SUFFIX) and "=" not in change:
        labels.pop(change[: -len(REMOVAL_SUFFIX)], None)
        return
    key, separator, value = change.partition("=")
    if not separator or not key or not value:
        raise UsageError(f"{change!r} is neither key=value nor key-.")
    labels[key] = value


def _format_change(data: dict[str, Any]) -> str:
    if data.get("dry_run"):
        effects = [f"  {sentence}" for sentence in data["effects"]]
        return "\n".join([f"It would mean: {data['sentence']}", *effects])
    note = " (made by an earlier call)" if data["repeated"] else ""
    return f"Revision {data['revision']}{note}: {data['sentence']}"
