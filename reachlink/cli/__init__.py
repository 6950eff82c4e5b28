"""The operators' command line."""

from reachlink.cli._main import main
from reachlink.cli.exceptions import CliError, ConflictError, RefusedError, UnreachableError

__all__ = ["CliError", "ConflictError", "RefusedError", "UnreachableError", "main"]
