"""Errors raised by the settings package."""

from reachlink.kernel import ReachlinkError

__all__ = ["InvalidSettingsError", "SettingsError", "UnknownPathError"]


class SettingsError(ReachlinkError):
    """Base class of the errors of the settings package."""


class UnknownPathError(SettingsError):
    """A path names no setting, or a service does not exist.

    For a misspelled path the message suggests the closest name.
    """


class InvalidSettingsError(SettingsError):
    """Settings are invalid.

    Parameters
    ----------
    problems : sequence of Problem
        All problems found, each with its path.
    """

    def __init__(self, problems: list) -> None:
        super().__init__("; ".join(f"{p.path}: {p.message}" for p in problems))
        self.problems = problems
