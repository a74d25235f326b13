"""Structured logs: JSON lines, or coloured lines on a terminal."""

import logging
import sys
from collections.abc import Callable
from typing import Any

import structlog


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
        if sys.stderr.isatty()
        else structlog.processors.JSONRenderer()
    )
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
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )


def _bind(instance: str) -> Callable[[Any, str, dict], dict]:
    def add(logger: Any, method: str, event: dict) -> dict:
        event["instance"] = instance
        return event

    return add
