"""Structured logging: JSON lines, or coloured text on a terminal."""

import atexit
import logging
import sys
from collections.abc import Callable
from typing import Any

import orjson
import structlog

from toucanspool.telemetry.line_writer import LineWriter


def configure_logging(instance: str, *, level: str = "info") -> None:
    """Configure structlog for the process.

    Parameters
    ----------
    instance : str
        Name of the process; added to every line.
    level : {"debug", "info", "warning", "error"}
        Lowest level that is written.
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
            _instance_adder(instance),
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


def _dumps(event: dict[str, Any], **kwargs: Any) -> str:
    options = orjson.OPT_NON_STR_KEYS
    return orjson.dumps(event, default=repr, option=options).decode()


def _instance_adder(instance: str) -> Callable[[Any, str, dict], dict]:
    def add_instance(logger: Any, method: str, event: dict) -> dict:
        event["instance"] = instance
        return event

    return add_instance
