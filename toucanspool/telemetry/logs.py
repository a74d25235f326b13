"""Structured logs: JSON lines, or coloured lines on a terminal."""

import atexit
import logging
import sys
from collections.abc import Callable
from typing import Any

import orjson
import structlog

from toucanspool.telemetry.line_writer import LineWriter


def set_up(instance: str, *, level: str = "info") -> None:
    """Set up logging for the process.

    Parameters
    ----------
    instance : str
        Bound to every line.
    level : {"debug", "info", "warning", "error"}
        The lowest level written.
    """
    renderer = (
        structlog.dev.ConsoleRenderer()
        if sys.stdout.isatty()
        else structlog.processors.JSONRenderer(serializer=_dumps)
    )
    writer = LineWriter(sys.stdout.fileno())
    writer.start()
    atexit.register(writer.flush)
    structlog.configure(
        processors=[
            _bind(instance),
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            getattr(logging, level.upper())
        ),
        logger_factory=lambda *args: writer,
        cache_logger_on_first_use=True,
    )


def _dumps(event: dict[str, Any], **unused: Any) -> str:
    options = orjson.OPT_NON_STR_KEYS
    return orjson.dumps(event, default=repr, option=options).decode()


def _bind(instance: str) -> Callable[[Any, str, dict], dict]:
    def add(logger: Any, method: str, event: dict) -> dict:
        event["instance"] = instance
        return event

    return add
