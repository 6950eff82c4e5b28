"""Registries, clocks, process lifecycle and the base class of all errors."""

from reachlink.kernel._bounded_connection import (
    BoundedConnection,
    BoundedConnector,
    EndlessAnswerError,
    read_bounded,
)
from reachlink.kernel._clock import Clock, SystemClock, process_started_at, steady_time
from reachlink.kernel._config import load_config
from reachlink.kernel._counts import parse_count
from reachlink.kernel._file_watch import FileWatch
from reachlink.kernel._lifecycle import run_daemon, stop_signalled_at
from reachlink.kernel._loop_gaps import LoopGaps
from reachlink.kernel._registry import Registry
from reachlink.kernel._slices import run_in_slices
from reachlink.kernel._suspension import watch_suspensions
from reachlink.kernel._web import bearer_key, json_response
from reachlink.kernel.exceptions import ConfigError, ReachlinkError, UnknownPluginError

__all__ = [
    "BoundedConnection",
    "BoundedConnector",
    "Clock",
    "ConfigError",
    "EndlessAnswerError",
    "FileWatch",
    "LoopGaps",
    "ReachlinkError",
    "Registry",
    "SystemClock",
    "UnknownPluginError",
    "bearer_key",
    "read_bounded",
    "run_in_slices",
    "json_response",
    "load_config",
    "process_started_at",
    "run_daemon",
    "steady_time",
    "stop_signalled_at",
    "parse_count",
    "watch_suspensions",
]
