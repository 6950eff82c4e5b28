"""Errors of the settings layer."""

from reachlink.kernel import ReachlinkError

__all__ = ["InvalidSettingsError", "SettingsError", "UnknownPathError"]


class SettingsError(ReachlinkError):
    """Base class of the errors of this layer."""


class UnknownPathError(SettingsError):
    """A path names no setting; the message suggests the nearest one."""


class InvalidSettingsError(SettingsError):
    """Settings were refused.

    Parameters
    ----------
    problems : sequence of Problem
        Everything that is wrong, each with its path.
    """

    def __init__(self, problems: list) -> None:
        super().__init__("; ".join(f"{p.path}: {p.message}" for p in problems))
        self.problems = problems
