"""Formatting of output: plain text for people, JSON for scripts."""

import time
from collections.abc import Mapping, Sequence
from typing import Any

import orjson

COLUMN_GAP = "  "


def as_json(data: Any) -> str:
    """Return data as indented JSON.

    Parameters
    ----------
    data : Any
        Any value that JSON can represent.

    Returns
    -------
    str
    """
    return orjson.dumps(data, option=orjson.OPT_INDENT_2).decode()


def table(headers: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    """Return rows as a table with aligned columns.

    Parameters
    ----------
    headers : sequence of str
        Titles of the columns.
    rows : sequence of sequence
        Cells of each row, one for each column.

    Returns
    -------
    str
    """
    cells = [[str(cell) for cell in row] for row in (headers, *rows)]
    widths = [max(len(row[index]) for row in cells) for index in range(len(headers))]
    lines = [
        COLUMN_GAP.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        )
        for row in cells
    ]
    return "\n".join(line.rstrip() for line in lines)


def labels_text(labels: Mapping[str, str]) -> str:
    """Return labels as ``key=value`` pairs, sorted by key.

    Parameters
    ----------
    labels : mapping of str to str
        Labels by key.

    Returns
    -------
    str
    """
    return " ".join(f"{key}={labels[key]}" for key in sorted(labels)) or "-"


def status_text(data: Mapping[str, Any]) -> str:
    """Return the status of an entry as text.

    Parameters
    ----------
    data : mapping
        Answer of the admin API.

    Returns
    -------
    str
    """
    leaving = ", leaving" if data["leaving"] else ""
    summary = (
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
    headers = ("UPSTREAM", "STATE", "DOMAIN", "RUNNING", "WAITING", "AGE S", "LABELS")
    return summary + "\n" + table(headers, rows)


def records_text(data: Mapping[str, Any]) -> str:
    """Return records as text.

    Parameters
    ----------
    data : mapping
        Answer of the admin API.

    Returns
    -------
    str
    """
    rows = [(record["name"], _details(record)) for record in data["records"]]
    return f"Revision {data['revision']}.\n" + table(("NAME", "DETAILS"), rows)


def changes_text(data: Mapping[str, Any]) -> str:
    """Return changes as text.

    Parameters
    ----------
    data : mapping
        Answer of the admin API.

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
