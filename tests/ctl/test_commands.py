"""The tool describes what it did, and each cause of failure has an exit status."""

import pytest

from toucanspool.config.view import key_hash
from toucanspool.ctl.client import AdminClient, _failure
from toucanspool.ctl.commands import Commands, Options
from toucanspool.ctl.failures import (
    ChangeConflict,
    CommandRefused,
    OutcomeUnknown,
    ServiceUnavailable,
    UsageError,
)

RECORDS = {
    "upstream": [{"kind": "upstream", "name": "a", "labels": {"rack": "r1"}}],
    "team": [{"kind": "team", "name": "t", "labels": {}, "key_hashes": ["0" * 64]}],
    "selector": [
        {
            "kind": "selector",
            "name": "s",
            "action": "drain",
            "order": 10,
            "work": {"has": {}, "lacks": {}},
            "upstreams": {"has": {"rack": ["r1", "r2"]}, "lacks": {"pool": ["x"]}},
        }
    ],
}
STATUS = {
    "instance": "entry-1",
    "failure_domain": "one",
    "leaving": False,
    "revision": 7,
    "upstreams": [
        {
            "name": "a",
            "state": "drain",
            "failure_domain": "one",
            "running": 3,
            "waiting": 0,
            "report_age_s": 0.25,
            "labels": {"rack": "r1"},
        }
    ],
}


class FakeClient:
    """Answer like the admin API, and record the changes that are sent."""

    def __init__(self, *, error: Exception | None = None) -> None:
        self.sent: list[dict] = []
        self._error = error

    def call(self, method: str, path: str, body: dict | None = None) -> dict:
        """Return a canned answer, or fail a change if asked to."""
        if path == "/admin/v1/status":
            return STATUS
        if path.startswith("/admin/v1/records/"):
            return {"revision": 7, "records": RECORDS.get(path.rsplit("/", 1)[1], [])}
        if method == "POST":
            self.sent.append(body)
            if self._error:
                raise self._error
            if body["dry_run"]:
                return {"dry_run": True, "sentence": "Ana did it.", "effects": ["a b."]}
            return {"revision": 8, "repeated": False, "sentence": "Ana did it."}
        change = {"revision": 7, "at": 0.0, "operator": "ana", "sentence": "Ana did."}
        return {"changes": [change]}


def run(*args: str, client: FakeClient | None = None, **options):
    """Run a command against a fake client and return its output."""
    return Commands(client or FakeClient(), Options(**options)).run(args)


@pytest.mark.parametrize(
    "words", [("status",), ("list", "selector"), ("list", "team"), ("history",)]
)
def test_text_for_people(snapshot, words):
    assert run(*words).text == snapshot


def test_labels_are_set_and_dropped_over_what_was_seen():
    client = FakeClient()
    run("label", "upstream", "a", "state=drain", "rack-", client=client)
    sent = client.sent[0]
    assert sent["puts"][0]["labels"] == {"state": "drain"}
    assert sent["base"] == 7


def test_a_dry_run_says_what_it_would_mean():
    text = run("label", "upstream", "a", "x=y", dry_run=True).text
    assert text == "It would mean: Ana did it.\n  a b."


def test_a_new_key_is_shown_once_and_only_its_hash_is_sent():
    client = FakeClient()
    output = run("key", "team", "t", client=client)
    hashes = client.sent[0]["puts"][0]["key_hashes"]
    assert hashes == ["0" * 64, key_hash(output.data["key"])]
    assert output.data["key"] not in str(client.sent)


def test_apply_puts_and_removes(tmp_path):
    path = tmp_path / "records.yaml"
    path.write_text(
        "- {kind: team, name: u}\n- {kind: selector, name: s, remove: true}\n"
    )
    client = FakeClient()
    run("apply", str(path), client=client)
    assert client.sent[0]["puts"] == [{"kind": "team", "name": "u"}]
    assert client.sent[0]["removals"] == [{"kind": "selector", "name": "s"}]


def test_an_uncertain_change_says_how_to_repeat_it():
    client = FakeClient(error=OutcomeUnknown("No answer."))
    with pytest.raises(OutcomeUnknown, match="--change_id=mine"):
        run("remove", "team", "t", client=client, change_id="mine")


@pytest.mark.parametrize(
    "words",
    [
        (),
        ("dance",),
        ("list",),
        ("list", "cats"),
        ("label", "upstream", "a"),
        ("label", "selector", "s", "a=b"),
        ("label", "upstream", "a", "state"),
        ("label", "upstream", "a", "=b"),
        ("key", "upstream", "a"),
        ("explain", "change", "x"),
        ("apply", "none.yaml"),
    ],
)
def test_bad_usage_is_told(words):
    with pytest.raises(UsageError):
        run(*words)


@pytest.mark.parametrize(
    ("status", "outcome", "error_type", "exit_status"),
    [
        (403, "not_run", CommandRefused, 3),
        (409, "not_run", ChangeConflict, 4),
        (503, "not_run", ServiceUnavailable, 5),
        (503, "unknown", OutcomeUnknown, 6),
        (500, "unknown", OutcomeUnknown, 6),
    ],
)
def test_each_answer_has_its_exit_status(status, outcome, error_type, exit_status):
    failure = _failure(status, {"detail": "No.", "outcome": outcome})
    assert type(failure) is error_type
    assert failure.status == exit_status


def test_no_entry_means_nothing_changed():
    with pytest.raises(ServiceUnavailable):
        AdminClient(["http://127.0.0.1:1"], "k").call("POST", "/admin/v1/changes", {})
