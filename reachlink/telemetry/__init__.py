"""Logs and metrics."""

from reachlink.telemetry._logs import configure_logs, get_logger
from reachlink.telemetry._metrics import Metrics

__all__ = ["Metrics", "configure_logs", "get_logger"]
