"""Logging, metrics and the analysis of logs."""

from reachlink.telemetry._log_lines import LogLines
from reachlink.telemetry._logs import configure_logs, get_logger
from reachlink.telemetry._losses import (
    Loss,
    LossCause,
    LossGroup,
    LossSummary,
    summarize_losses,
)
from reachlink.telemetry._metrics import Metrics
from reachlink.telemetry._records import LogRecord, read_records

__all__ = [
    "LogLines",
    "LogRecord",
    "Loss",
    "LossSummary",
    "LossCause",
    "LossGroup",
    "Metrics",
    "summarize_losses",
    "configure_logs",
    "get_logger",
    "read_records",
]
