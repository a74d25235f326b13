"""Output of the tool: plain text for people, JSON for scripts."""

import time
from collections.abc import Mapping, Sequence
from typing import Any

import orjson

GAP = "  "


def as_json(data: Any) -> str:
    """Return data as indented JSON.

    Parameters
    ----------
    data : Any
        The data.

    Returns
    -------
    str
    """
    return orjson.dumps(data, option=orjson.OPT_INDENT_2).decode()


def table(heads: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    """Return rows in columns.

    Parameters
    ----------
    heads : sequence of str
        Column titles.
    rows : sequence of sequence
        Cells.

    Returns
    -------
    str
    """
    cells = [[str(cell) for cell in row] for row in (heads, *rows)]
    widths = [max(len(row[index]) for row in cells) for index in range(len(heads))]
    lines = [
        GAP.join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in cells
    ]
    return "\n".join(line.rstrip() for line in lines)


def labels_text(labels: Mapping[str, str]) -> str:
    """Return labels as words.

    Parameters
    ----------
    labels : mapping of str to str
        The labels.

    Returns
    -------
    str
    """
    return " ".join(f"{key}={labels[key]}" for key in sorted(labels)) or "-"


def status_text(data: Mapping[str, Any]) -> str:
    """Return an entry's status as text.

    Parameters
    ----------
    data : mapping
        As the admin API answers.

    Returns
    -------
    str
    """
    leaving = ", leaving" if data["leaving"] else ""
    head = (
        f"Entry {data['instance']} in {data['failure_domain']}{leaving}, "
        f"configuration revision {data['revision']}."
    )
    rows = [
        (
            item["name"],
            item["state"],
            item["failure_domain"],
            item["running"],
            item["waiting"],
            "-" if item["report_age_s"] is None else f"{item['report_age_s']:.1f}",
            labels_text(item["labels"]),
        )
        for item in data["upstreams"]
    ]
    heads = ("UPSTREAM", "STATE", "DOMAIN", "RUNNING", "WAITING", "AGE S", "LABELS")
    return head + "\n" + table(heads, rows)


def records_text(data: Mapping[str, Any]) -> str:
    """Return records as text.

    Parameters
    ----------
    data : mapping
        As the admin API answers.

    Returns
    -------
    str
    """
    rows = [(r["name"], _details(r)) for r in data["records"]]
    return f"Revision {data['revision']}.\n" + table(("NAME", "DETAILS"), rows)


def changes_text(data: Mapping[str, Any]) -> str:
    """Return changes as text.

    Parameters
    ----------
    data : mapping
        As the admin API answers.

    Returns
    -------
    str
    """
    rows = [
        (
            change["revision"],
            time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(change["at"])),
            change["operator"],
            change["sentence"],
        )
        for change in data["changes"]
    ]
    return table(("REVISION", "AT (UTC)", "OPERATOR", "WHAT"), rows)


def _details(record: Mapping[str, Any]) -> str:
    parts = []
    if record.get("action"):
        parts.append(f"order {record['order']}: {record['action']}")
    for key in ("work", "when", "upstreams"):
        match = record.get(key)
        if match and (match["has"] or match["lacks"]):
            parts.append(f"{key} {_match_text(match)}")
    if record.get("labels"):
        parts.append(labels_text(record["labels"]))
    if "key_hashes" in record:
        parts.append(f"{len(record['key_hashes'])} keys")
    return ", ".join(parts) or "-"


def _match_text(match: Mapping[str, Any]) -> str:
    has = [f"{key}={'|'.join(values)}" for key, values in match["has"].items()]
    lacks = [f"not {key}={'|'.join(values)}" for key, values in match["lacks"].items()]
    return " ".join(has + lacks)
