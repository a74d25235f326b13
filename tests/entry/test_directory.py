"""Tests of the directory of upstreams: eligibility, reports and links."""

from types import SimpleNamespace

from toucanspool.backing.instances import Instance
from toucanspool.config.records import Selector, Upstream
from toucanspool.config.view import View
from toucanspool.entry.directory import Directory
from toucanspool.wire.gen.messages.ttypes import Report

MATCH_DRAIN = {"has": {"state": "drain"}}


def make_directory(*names: str, **fields: str) -> Directory:
    """Return a directory of live upstreams that serve the model guide."""
    directory = Directory(
        lambda host, port: SimpleNamespace(
            connected=True, connect_count=1, close=lambda: None, host=host, port=port
        )
    )
    directory.update([make_instance(name, **fields) for name in names])
    return directory


def make_instance(name: str, *, state: str = "live", port: int = 1) -> Instance:
    """Return an agent's instance as the platform lists it."""
    return Instance(
        name=f"agent-{name}",
        role="agent",
        failure_domain="one",
        region="r",
        host="127.0.0.1",
        port=port,
        upstream=name,
        state=state,
        labels={"model": "guide"},
    )


def make_report(seq: int, *, state: str = "serve", running: int = 0) -> Report:
    """Return a load report of upstream a."""
    return Report(
        upstream="a",
        seq=seq,
        running=running,
        waiting=0,
        step_ms=1.0,
        state=state,
        revision=1,
        age_ms=0,
        prefixes=[],
    )


def names(directory: Directory, view: View | None = None, **work: str) -> list[str]:
    """Return the names of the eligible upstreams for the model guide."""
    found = directory.eligible({"model": "guide", **work}, view or View())
    return sorted(target.instance.upstream for target in found.targets)


def test_only_upstreams_of_the_model_are_eligible():
    assert names(make_directory("a", "b")) == ["a", "b"]
    assert names(make_directory("a"), model="notes") == []


def test_a_listed_leaving_upstream_gets_nothing():
    directory = make_directory("a", "b")
    directory.update([make_instance("a", state="leaving"), make_instance("b")])
    assert names(directory) == ["b"]


def test_a_label_drains_by_its_selector():
    view = View(
        revision=1,
        records=[
            Upstream("a", {"state": "drain"}),
            Selector("drained", "drain", upstreams=MATCH_DRAIN),
        ],
    )
    assert names(make_directory("a", "b"), view) == ["b"]


def test_standby_serves_only_where_nothing_else_does():
    selector = Selector("spare", "standby", upstreams={"has": {"upstream": "a"}})
    view = View(revision=1, records=[selector])
    assert names(make_directory("a", "b"), view) == ["b"]
    assert names(make_directory("a"), view) == ["a"]


def test_an_older_report_changes_nothing():
    directory = make_directory("a")
    target = directory.find("a")
    target.apply_report(make_report(2, running=5), 1.0)
    target.apply_report(make_report(1, running=9), 2.0)
    assert target.candidate.running == 5


def test_a_restarted_agents_reports_count_again():
    directory = make_directory("a")
    target = directory.find("a")
    target.apply_report(make_report(500, state="drain"), 1.0)
    assert names(directory) == []
    target.link.connect_count = 2
    target.apply_report(make_report(1), 2.0)
    assert names(directory) == ["a"]


def test_what_a_gone_agent_said_does_not_hold():
    directory = make_directory("a")
    target = directory.find("a")
    target.apply_report(make_report(1, state="drain"), 1.0)
    target.link.connected = False
    assert names(directory) == ["a"]


def test_a_replaced_agent_gets_another_link():
    directory = make_directory("a")
    before = directory.find("a").link
    directory.update([make_instance("a", port=2)])
    assert directory.find("a").link is not before
