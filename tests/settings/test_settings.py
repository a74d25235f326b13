"""Settings are validated as a whole, and each error is reported with its key."""

import pytest
import yaml

from toucanspool.settings.settings import (
    FEED_RECOVERY_S,
    RowStore,
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


@pytest.fixture
def write_settings(tmp_path):
    """Return a function that writes settings and returns the file's path."""

    def write(data) -> str:
        path = tmp_path / "settings.yaml"
        path.write_text(data if isinstance(data, str) else yaml.safe_dump(data))
        return str(path)

    return write


@pytest.mark.parametrize("good", [ENTRY, AGENT])
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
