"""Errors of the operators' command line, each with its exit code."""

from reachlink.kernel import ReachlinkError

__all__ = ["CliError", "ConflictError", "RefusedError", "UnreachableError"]


class CliError(ReachlinkError):
    """Base class of the errors of this layer."""

    exit_code = 1


class RefusedError(CliError):
    """The request was refused: wrong key, wrong path, invalid value."""

    exit_code = 2


class ConflictError(CliError):
    """Another edit won."""

    exit_code = 3


class UnreachableError(CliError):
    """No answer, or none that tells the outcome."""

    exit_code = 4
