"""The gateway's template gives valid settings with and without optional fields."""

import re
from pathlib import Path
from typing import Any

import orjson
import pytest

from toucanspool.settings.settings import Settings, load_settings

TEMPLATE = Path(__file__).parents[2] / "deploy" / "gateway.yaml"
SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
VALUE = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")
FIELDS = {
    "nodeName": "edge-1",
    "zone": "one",
    "region": "south",
    "ip": "10.0.0.1",
    "internalPorts": [7340],
    "listen": {
        "frontend": "10.0.0.1:80",
        "ready": "10.0.0.1:81",
        "directoryService": "10.0.0.1:82",
    },
    "platform": {"address": "10.0.0.9:90"},
    "bounds": {
        "graceS": 8,
        "retryBudgetRatio": 0.2,
        "budgetWindowS": 10,
        "budgetExtraRetries": 5,
        "contactMs": 3000,
        "drainMs": 2000,
    },
}


def find(fields: Any, path: str) -> Any:
    """Return a field by its path, or None if it is missing."""
    for part in path.split("."):
        if isinstance(fields, list):
            fields = fields[int(part)]
        elif (fields := fields.get(part)) is None:
            return None
    return fields


def render(fields: dict[str, Any], template: Path = TEMPLATE) -> str:
    """Fill in a template as the platform does."""

    def fill_section(match: re.Match[str]) -> str:
        return "" if find(fields, match[1]) is None else match[2]

    def fill_value(match: re.Match[str]) -> str:
        value = find(fields, match[1])
        assert value is not None, f"{match[1]} is missing and not in a section"
        return orjson.dumps(value).decode() if match[2] else str(value)

    return VALUE.sub(fill_value, SECTION.sub(fill_section, template.read_text()))


@pytest.fixture
def load(tmp_path):
    """Return a function that renders the template and reads the settings."""

    def load_rendered(fields: dict[str, Any]) -> Settings:
        path = tmp_path / "gateway.yaml"
        path.write_text(render(fields))
        return load_settings(str(path))

    return load_rendered


def test_settings_without_optional_fields_are_valid(load):
    cfg = load(FIELDS)
    assert cfg.gateway.store.evacuate_ms is None
    assert cfg.zones is None


def test_the_time_to_evacuate_is_taken_over(load):
    bounds = {**FIELDS["bounds"], "evacuateMs": 5000}
    assert load({**FIELDS, "bounds": bounds}).gateway.store.evacuate_ms == 5000


def test_the_regions_of_zones_are_taken_over(load):
    zones = {"one": "south", "two": "north"}
    assert load({**FIELDS, "zones": zones}).zones == zones
