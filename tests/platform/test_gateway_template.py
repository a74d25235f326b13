"""The template of a gateway's settings gives valid settings with and without fields."""

import json
import re
from pathlib import Path
from typing import Any

import pytest

from toucanspool.settings.settings import SettingsError, load_settings

TEMPLATE = Path(__file__).parents[2] / "deploy" / "gateway.yaml"
SECTION = re.compile(r"{{#([\w.]+)}}(.*?){{/\1}}", re.DOTALL)
FIELD = re.compile(r"{{([\w.]+)(\|json)?}}")
BOUNDS = {
    "graceS": 8,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetExtraRetries": 3,
    "contactMs": 3000,
    "drainMs": 2000,
}
FIELDS = {
    "nodeName": "edge-1",
    "zone": "wellington",
    "region": "south",
    "ip": "10.0.0.1",
    "internalPorts": [7340],
    "listen": {
        "frontend": "10.0.0.1:80",
        "ready": "10.0.0.1:81",
        "directoryService": "10.0.0.1:82",
    },
    "platform": {"address": "10.0.0.2:90"},
}


def render(fields: dict[str, Any]) -> str:
    """Return the template filled in as the platform does it."""

    def find(path: str) -> Any:
        value: Any = fields
        for key in path.split("."):
            value = value[int(key)] if key.isdigit() else value.get(key)
            if value is None:
                return None
        return value

    def fill(match: re.Match) -> str:
        value = find(match[1])
        return json.dumps(value) if match[2] else str(value)

    text, sections = TEMPLATE.read_text(), 1
    while sections:
        text, sections = SECTION.subn(
            lambda match: match[2] if find(match[1]) is not None else "", text
        )
    return FIELD.sub(fill, text)


def settings_with(tmp_path: Path, **bounds: object):
    path = tmp_path / "settings.yaml"
    path.write_text(render({**FIELDS, "bounds": {**BOUNDS, **bounds}}))
    return load_settings(str(path)).gateway


def test_a_deployment_without_the_rule_gets_no_bound_on_cold_upstreams(tmp_path):
    assert settings_with(tmp_path).cold_starts is None


def test_a_deployment_with_the_rule_gets_its_bound(tmp_path):
    found = settings_with(tmp_path, coldOverrun=1.5, coldSlack=5).cold_starts
    assert (found.overrun, found.slack) == (1.5, 5.0)


def test_a_deployment_without_slack_gets_none(tmp_path):
    assert settings_with(tmp_path, coldOverrun=1.5).cold_starts.slack == 0.0


def test_a_bound_that_admits_nothing_is_refused(tmp_path):
    with pytest.raises(SettingsError, match="gateway.cold_starts.overrun"):
        settings_with(tmp_path, coldOverrun=0, coldSlack=5)
