"""Settings are validated as a whole, and each error is reported with its key."""

import pytest
import yaml

from toucanspool.settings.row_store import FEED_RECOVERY_S, RowStore
from toucanspool.settings.settings import (
    SettingsError,
    load_settings,
)

ADDRESS = {"host": "127.0.0.1", "port": 1}
ENTRY = {
    "instance": "entry-1",
    "role": "entry",
    "failure_domain": "one",
    "host": "127.0.0.1",
    "port": 7000,
    "platform": {"table": ADDRESS, "objects": ADDRESS, "instances": ADDRESS},
    "entry": {"http": {"port": 8080}},
}
AGENT = {
    **{key: value for key, value in ENTRY.items() if key != "entry"},
    "role": "agent",
    "agent": {"upstream": "a", "address": ADDRESS, "kind": "engine", "model": "guide"},
}
GATEWAY = {
    **{key: value for key, value in ENTRY.items() if key not in ("entry", "platform")},
    "role": "gateway",
    "gateway": {
        "callers": ADDRESS,
        "readiness": ADDRESS,
        "directory": ADDRESS,
        "store": {"address": ADDRESS},
    },
}


def hedging_settings(hedging) -> dict:
    return {**GATEWAY, "gateway": {**GATEWAY["gateway"], "hedging": hedging}}


@pytest.fixture
def write_settings(tmp_path):
    """Return a function that writes settings and returns the file's path."""

    def write(data) -> str:
        path = tmp_path / "settings.yaml"
        path.write_text(data if isinstance(data, str) else yaml.safe_dump(data))
        return str(path)

    return write


@pytest.mark.parametrize("good", [ENTRY, AGENT, GATEWAY])
def test_good_settings_are_taken(write_settings, good):
    assert load_settings(write_settings(good)).instance == "entry-1"


def test_all_mistakes_are_told_at_once(write_settings, snapshot):
    bad = {
        **ENTRY,
        "port": 70000,
        "colour": "red",
        "platform": {"table": ADDRESS, "objects": {"host": ""}},
        "entry": {"http": {"port": "x"}, "retry_ratio": 2},
    }
    with pytest.raises(SettingsError) as caught:
        load_settings(write_settings(bad))
    assert caught.value.errors == snapshot


@pytest.mark.parametrize(
    "change",
    [
        {"role": "agent"},
        {"agent": AGENT["agent"]},
        {"role": "king"},
        {"seed": "x"},
    ],
)
def test_roles_and_sections_belong_together(write_settings, snapshot, change):
    with pytest.raises(SettingsError) as caught:
        load_settings(write_settings({**ENTRY, **change}))
    assert caught.value.errors == snapshot


@pytest.mark.parametrize("kind", ["engine", "service", "ranks"])
def test_an_agent_names_what_it_serves(write_settings, kind):
    agent = {"upstream": "a", "address": ADDRESS, "kind": kind}
    with pytest.raises(SettingsError, match="is due"):
        load_settings(write_settings({**AGENT, "agent": agent}))


@pytest.mark.parametrize("text", ["", "- 1", "a: [", "just words"])
def test_what_is_no_mapping_is_refused(write_settings, text):
    with pytest.raises(SettingsError):
        load_settings(write_settings(text))


def test_a_missing_file_is_told(tmp_path):
    with pytest.raises(SettingsError, match="can't be read"):
        load_settings(str(tmp_path / "none.yaml"))


def test_a_feed_waits_no_longer_than_lets_it_recover_in_time():
    store = RowStore(address=ADDRESS, contact_ms=3000)
    assert store.feed_wait_s + FEED_RECOVERY_S == 3.0


@pytest.mark.parametrize(
    ("evacuate_ms", "wait_s"), [(None, 7.0), (5000, 3.0), (1, 0.5)]
)
def test_a_feed_recovers_within_the_time_to_evacuate_a_failure_domain(
    evacuate_ms, wait_s
):
    store = RowStore(address=ADDRESS, contact_ms=8000, evacuate_ms=evacuate_ms)
    assert store.feed_wait_s == wait_s


def test_second_attempts_are_off_unless_their_section_is_there(write_settings):
    assert load_settings(write_settings(GATEWAY)).gateway.hedging is None
    hedging = load_settings(write_settings(hedging_settings({"ratio": 0.05})))
    assert hedging.gateway.hedging.percentile == 95.0
    assert hedging.gateway.hedging.services is None


@pytest.mark.parametrize(
    ("changes", "key"),
    [
        ({"ratio": 0.11}, "ratio"),
        ({"ratio": -0.01}, "ratio"),
        ({"ratio": float("nan")}, "ratio"),
        ({"ratio": None}, "ratio"),
        ({"percentile": 49.9}, "percentile"),
        ({"percentile": 99.95}, "percentile"),
        ({"min_delay_ms": -1}, "min_delay_ms"),
        ({"services": "desk"}, "services"),
        ({"services": [""]}, "services"),
        ({"rate": 0.1}, "rate"),
    ],
)
def test_a_mistake_in_the_settings_of_second_attempts_names_its_key(
    write_settings, changes, key
):
    bad = hedging_settings({"ratio": 0.05, **changes})
    with pytest.raises(SettingsError, match=rf"gateway\.hedging\.{key}"):
        load_settings(write_settings(bad))
