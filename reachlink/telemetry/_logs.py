"""Structured logging: one line of key=value pairs per event, on standard output."""

import logging
import sys
from collections.abc import Mapping, MutableMapping
from typing import Any

import structlog

from reachlink.telemetry._output import BoundedOutput

# Largest part of a value in characters that is written.
MAX_VALUE_CHARACTERS = 512
_KEY_ORDER = ["timestamp", "level", "event", "instance", "availability_zone"]


def configure_logs(**context: str) -> None:
    """Configure logging for this process.

    Parameters
    ----------
    **context : str
        Key-value pairs added to every line of this process, such as the name of
        its instance.
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            _shorten,
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(key_order=_KEY_ORDER, drop_missing=True),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.WriteLoggerFactory(_make_output(sys.stdout)),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(**context)


def _shorten(logger: Any, method: str, event: MutableMapping[str, Any]) -> Mapping[str, Any]:
    """Cut long values off: callers choose request ids, hosts and paths."""
    for key, value in event.items():
        if isinstance(value, str) and len(value) > MAX_VALUE_CHARACTERS:
            event[key] = f"{value[:MAX_VALUE_CHARACTERS]}..."
    return event


def _make_output(stream: Any) -> Any:
    """Return a `BoundedOutput` that writes to the descriptor of a stream.

    A stream without a descriptor, such as the one of a test runner, is
    returned itself.
    """
    try:
        return BoundedOutput(stream.fileno())
    except (OSError, ValueError):
        return stream


def get_logger() -> Any:
    """Return a logger whose methods take an event name and key-value pairs."""
    return structlog.get_logger()
